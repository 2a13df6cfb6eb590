package relay

import (
	"cmp"
	"slices"
)

// Sources returns the relays of a region whose copy of the store a relay of that region may take, the preferred one first:
// those that come before it in an order by bandwidth and name, which all relays share. The first in that order has none and
// reads the store itself. The other hosts take the copies of their uplinks.
func Sources(self Host, relays []Host) []Host {
	before := slices.DeleteFunc(slices.Clone(relays), func(h Host) bool {
		return h.Region != self.Region || compareReaders(h, self) >= 0
	})
	slices.SortFunc(before, compareReaders)
	return before
}

func compareReaders(a, b Host) int { return cmp.Or(compareLinks(a, b), cmp.Compare(a.Name, b.Name)) }
