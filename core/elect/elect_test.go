package elect_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"jayshift/core/elect"
	"jayshift/core/ident"
)

// TestPick checks that the choice does not depend on the order of the hosts, and that it stays when another host is
// removed.
func TestPick(t *testing.T) {
	is := is.New(t)
	is.Equal(elect.Pick("subject", nil), ident.Host(""))
	hosts := []ident.Host{"a", "b", "c", "d", "e"}
	reversed := slices.Clone(hosts)
	slices.Reverse(reversed)
	for i := range 100 {
		subject := fmt.Sprint(i)
		picked := elect.Pick(subject, hosts)
		is.Equal(elect.Pick(subject, reversed), picked)
		for _, removed := range hosts {
			if removed == picked {
				continue
			}
			remaining := slices.DeleteFunc(slices.Clone(hosts), func(h ident.Host) bool { return h == removed })
			is.Equal(elect.Pick(subject, remaining), picked)
		}
	}
}
