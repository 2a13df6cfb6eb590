package region

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
)

// objectLeeway is the number of requests by which a region may be ahead of its share at a host for a request whose object is
// assigned to it. Deviations of the hosts are independent, so that the fleet's sum stays near the shares.
const objectLeeway = 0.5

// regionOf returns the region that the object is assigned to: all hosts assign each object to one region, and to each region the
// planned part of all objects, by weighted rendezvous hashing. When the shares change, only the objects move that must. It returns
// false without an object or without a plan. The lock must be held.
func (l *Limiter) regionOf(o ident.Object) (ident.Region, bool) {
	if o == "" || l.planner == nil {
		return "", false
	}
	best, highest := l.local, 0.0
	for _, r := range l.order {
		draw := fraction(xxhash.Sum64String(string(o) + "/" + string(r)))
		if score := l.shares[r].planned / -math.Log(draw); score > highest {
			best, highest = r, score
		}
	}
	return best, true
}
