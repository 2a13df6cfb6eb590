package config

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid marks resources that were refused whole.
var ErrInvalid = merry.Sentinel("invalid resources")

// Fault is one reason for which a resource was refused.
type Fault struct {
	Kind   string
	Name   string
	Field  string
	Reason string
}

func (f Fault) String() string {
	return fmt.Sprintf("%s %q: %s: %s", f.Kind, f.Name, f.Field, f.Reason)
}

// faultError turns faults into one error that lists them all, or nil when there are none.
func faultError(faults []Fault) error {
	if len(faults) == 0 {
		return nil
	}
	lines := make([]string, len(faults))
	for i, f := range faults {
		lines[i] = f.String()
	}
	return merry.Prepend(ErrInvalid, strings.Join(lines, "; "))
}
