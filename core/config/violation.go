package config

import (
	"fmt"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid is wrapped by the error of a set of changes that is rejected; none of the changes are applied.
var ErrInvalid = merry.Sentinel("invalid resources")

// Violation describes a field of a resource that fails validation.
type Violation struct {
	Kind   string
	Name   string
	Field  string
	Reason string
}

func (v Violation) String() string {
	return fmt.Sprintf("%s %q: %s: %s", v.Kind, v.Name, v.Field, v.Reason)
}

// joinViolations returns one error that lists all violations and wraps ErrInvalid, or nil when there are none.
func joinViolations(violations []Violation) error {
	if len(violations) == 0 {
		return nil
	}
	lines := make([]string, len(violations))
	for i, v := range violations {
		lines[i] = v.String()
	}
	return merry.Prepend(ErrInvalid, strings.Join(lines, "; "))
}
