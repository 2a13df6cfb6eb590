package share

import (
	"time"

	"jayshift/core/ident"
)

// updateBases sets the base of every share from the partitions that this host holds.
func (reg *Registry) updateBases(now time.Time) {
	for _, l := range reg.limits {
		s := reg.shard(l.Quantity)
		s.mu.Lock()
		if l.Kind == KindRate {
			reg.updateRateBase(now, s, l, reg.assignmentOf(l, func(i int) bool { return reg.isUsable(now, i) }))
		} else {
			reg.updateConcurrencyBase(s, l, reg.assignmentOf(l, reg.isHeld))
		}
		s.mu.Unlock()
	}
}

// assignment describes which of a limit's partitions this host holds.
type assignment struct {
	held        int            // number of partitions that this host holds
	total       int            // number of all partitions of the limit
	maxRevision ident.Revision // latest store revision at which a held partition was acquired
	takenOverAt time.Time      // latest time at which one was taken over from a lost host, zero for none
}

// isHeld reports whether this host owns the partition and has not been asked to release it.
func (reg *Registry) isHeld(i int) bool {
	_, ok := reg.owned[i]
	return ok && reg.table.Partitions[i].Next == ""
}

// isUsable reports whether the partition's rates may be spent and lent: this host holds it, and every loan made by the
// host's previous process has ended.
func (reg *Registry) isUsable(now time.Time, i int) bool {
	return reg.isHeld(i) && !now.Before(reg.owned[i].usableAt)
}

// assignmentOf returns the assignment of the limit's partitions for which counts returns true.
func (reg *Registry) assignmentOf(l Limit, counts func(int) bool) assignment {
	var out assignment
	for _, i := range PartitionsOf(l) {
		out.total++
		if !counts(i) {
			continue
		}
		out.held++
		o := reg.owned[i]
		out.maxRevision = max(out.maxRevision, o.revision)
		if o.takenOverAt.After(out.takenOverAt) {
			out.takenOverAt = o.takenOverAt
		}
	}
	return out
}

func (reg *Registry) updateRateBase(now time.Time, s *shard, l Limit, assigned assignment) {
	r, ok := s.rates[l.Quantity]
	if !ok {
		r = NewRate(now)
		s.rates[l.Quantity] = r
	}
	r.SetLimit(l.Rate)
	// If the limit was created after this host had acquired the partitions, no other host has spent from it.
	full := !ok && assigned.held > 0 && l.Created > assigned.maxRevision
	r.SetBase(now, fraction(l.Rate, int64(assigned.held), int64(assigned.total)), fraction(l.Burst, int64(assigned.held), int64(assigned.total)), full)
}

func (reg *Registry) updateConcurrencyBase(s *shard, l Limit, assigned assignment) {
	c, ok := s.concurrency[l.Quantity]
	if !ok {
		c = NewConcurrency()
		s.concurrency[l.Quantity] = c
	}
	var usableAt time.Time
	if !assigned.takenOverAt.IsZero() {
		usableAt = assigned.takenOverAt.Add(l.ReuseDelay)
	}
	c.SetBase(int(l.Burst)*assigned.held/assigned.total, usableAt)
}
