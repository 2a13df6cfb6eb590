package peer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
)

// TestNoHostServesItsWholeRegion checks that one host of each region reads the store, that each other host finds its way to
// that one over at most two others, and how many hosts take a host's copy.
func TestNoHostServesItsWholeRegion(t *testing.T) {
	const maxTakers = 24 // the largest fleet in which all hosts take the copy of one
	for _, n := range []int{9, 24, 60, 300} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(t, n)
				time.Sleep(settleTime)
				readers, takers := map[string]int{}, map[string]int{}
				for _, h := range f.hosts {
					at := h
					for hops := 0; ; hops++ {
						sources := at.peers.CopySources(time.Now())
						if len(sources) == 0 {
							break
						}
						is.True(hops < 3)
						next := f.hosts[ident.Host(sources[0])]
						is.Equal(next.edge.Region, h.edge.Region)
						if hops == 0 {
							takers[sources[0]]++
						}
						at = next
					}
					if at == h {
						readers[h.edge.Region]++
					}
				}
				is.Equal(len(readers), min(n, regionCount))
				for _, count := range readers {
					is.Equal(count, 1)
				}
				for _, count := range takers {
					is.True(count <= maxTakers)
				}
				for _, h := range f.hosts {
					h.cancel()
				}
			})
		})
	}
}
