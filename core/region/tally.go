// Package region decides in which region the requests of a region run.
package region

import (
	"cmp"
	"slices"
	"sync"

	"jayshift/core/ident"
)

// Cause is why a request runs in its region.
type Cause string

// Causes.
const (
	Chosen Cause = "chosen" // the region's part of the requests
	Bound  Cause = "bound"  // the request may run in some regions only
	Lost   Cause = "lost"   // the region that it was planned for has no usable server for the request
	Full   Cause = "full"   // the servers of the region that it was planned for can take no further request now
)

// Count is a number of runs in a region with the same cause.
type Count struct {
	Region ident.Region
	Cause  Cause
	Runs   int
}

// Tally counts runs by region and cause. It is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	counts []Count
}

// Record counts a run.
func (t *Tally) Record(r ident.Region, c Cause) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range t.counts {
		if t.counts[i].Region == r && t.counts[i].Cause == c {
			t.counts[i].Runs++
			return
		}
	}
	t.counts = append(t.counts, Count{Region: r, Cause: c, Runs: 1})
}

// Take returns the counts since the last call, ordered by region and cause.
func (t *Tally) Take() []Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	t.counts = nil
	slices.SortFunc(counts, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Cause, b.Cause))
	})
	return counts
}
