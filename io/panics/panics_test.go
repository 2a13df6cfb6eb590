package panics_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayshift/io/panics"
)

func TestCatch(t *testing.T) {
	is := is.New(t)
	is.NoErr(panics.Catch(func() {}))
	err := panics.Catch(func() {
		var m map[string]int
		m["key"] = 1
	})
	is.True(errors.Is(err, panics.ErrPanic))
	is.True(strings.Contains(err.Error(), "nil map"))
	is.True(strings.Contains(err.Error(), "panics_test.go")) // the stack shows where
}
