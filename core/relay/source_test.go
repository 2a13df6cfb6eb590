package relay_test

import (
	"testing"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/relay"
)

// TestSources checks that the relays of a region agree on one that reads the store, one with ample bandwidth if there is any.
func TestSources(t *testing.T) {
	is := is.New(t)
	hosts := fleet(27)
	for i := range hosts {
		hosts[i].LinkMbit = 12
		if i >= 18 {
			hosts[i].LinkMbit = float64(60 + i)
		}
	}
	readers := map[ident.Region]ident.Host{}
	for _, h := range hosts {
		sources := relay.Sources(h, hosts)
		for _, s := range sources {
			is.Equal(s.Region, h.Region)
			is.True(s.Name != h.Name)
		}
		if len(sources) == 0 {
			is.Equal(readers[h.Region], ident.Host("")) // one reader a region
			readers[h.Region] = h.Name
			is.True(h.LinkMbit > 12)
			continue
		}
		is.Equal(len(relay.Sources(sources[0], hosts)), 0) // the first source reads the store
	}
	is.Equal(len(readers), 3)
}
