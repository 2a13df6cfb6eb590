package elect_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"jayshift/core/elect"
	"jayshift/core/ident"
)

// TestFirst agrees whatever the order of the hosts, and keeps its choice when another host goes.
func TestFirst(t *testing.T) {
	is := is.New(t)
	is.Equal(elect.First("subject", nil), ident.Host(""))
	hosts := []ident.Host{"a", "b", "c", "d", "e"}
	turned := slices.Clone(hosts)
	slices.Reverse(turned)
	for i := range 100 {
		subject := fmt.Sprint(i)
		first := elect.First(subject, hosts)
		is.Equal(elect.First(subject, turned), first)
		for _, gone := range hosts {
			if gone == first {
				continue
			}
			left := slices.DeleteFunc(slices.Clone(hosts), func(h ident.Host) bool { return h == gone })
			is.Equal(elect.First(subject, left), first)
		}
	}
}
