package seat_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true"} {
		if flag.Lookup(name).Value.String() == flag.Lookup(name).DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
