// Package panics turns a panic into an error, so that one malformed message or unexpected value ends what it belongs to and
// not the process.
package panics

import (
	"fmt"
	"runtime/debug"

	"github.com/ansel1/merry/v2"
)

// ErrPanic means that the function panicked. The error's text has the value and the stack.
var ErrPanic = merry.Sentinel("panicked")

// Catch calls f. It returns an error that wraps ErrPanic if f panics, otherwise nil.
func Catch(f func()) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = merry.Prepend(ErrPanic, fmt.Sprintf("%v\n%s", p, debug.Stack()))
		}
	}()
	f()
	return nil
}
