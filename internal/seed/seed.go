// Package seed fixes the seed of property tests, so that every run draws the same cases.
package seed

import (
	"flag"
	"testing"
)

// Run fixes the seed unless the command line sets one, and runs the tests.
func Run(m *testing.M) int {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f != nil && f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	return m.Run()
}
