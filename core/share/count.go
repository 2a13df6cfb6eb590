package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

// Count is one host's share of a number of slots, each held by one request while it runs.
type Count struct {
	base     int
	readyAt  time.Time // before this, slots that a lost holder may still be using are not handed out
	used     int
	lent     []Loan
	borrowed []borrowedSlots
	sequence int64

	emptyTill time.Time
}

type borrowedSlots struct {
	Loan
	used int
}

// Slot is a slot that a request holds. Deadline is zero, or the time by which the request must have ended.
type Slot struct {
	lender   ident.Host
	sequence int64
	Deadline time.Time
}

// NewCount returns a share without slots.
func NewCount() *Count { return &Count{} }

// SetBase sets how many slots the host holds. A share that grows is usable from readyAt on.
func (c *Count) SetBase(slots int, readyAt time.Time) {
	if slots > c.base && readyAt.After(c.readyAt) {
		c.readyAt = readyAt
	}
	c.base = slots
}

func (c *Count) settle(now time.Time) {
	c.lent = slices.DeleteFunc(c.lent, func(l Loan) bool { return !l.Deadline.After(now) })
	c.borrowed = slices.DeleteFunc(c.borrowed, func(b borrowedSlots) bool { return !b.Deadline.After(now) })
}

func (c *Count) free(now time.Time) int {
	if now.Before(c.readyAt) {
		return 0
	}
	n := c.base - c.used
	for _, l := range c.lent {
		n -= int(l.Amount.Burst / Unit)
	}
	return max(n, 0)
}

// Take hands a slot to a request that ends at the latest at the time given.
func (c *Count) Take(now, until time.Time) (Slot, bool) {
	c.settle(now)
	if c.free(now) > 0 {
		c.used++
		return Slot{}, true
	}
	for i := range c.borrowed {
		b := &c.borrowed[i]
		if b.used < int(b.Amount.Burst/Unit) && !b.Deadline.Before(until) {
			b.used++
			return Slot{lender: b.Peer, sequence: b.Sequence, Deadline: b.Deadline}, true
		}
	}
	return Slot{}, false
}

// Free gives a slot back. A borrowed slot that no request uses any more ends its loan, which is returned.
func (c *Count) Free(s Slot) (Loan, bool) {
	if s.lender == "" {
		c.used = max(c.used-1, 0)
		return Loan{}, false
	}
	for i := range c.borrowed {
		b := &c.borrowed[i]
		if b.Peer != s.lender || b.Sequence != s.sequence {
			continue
		}
		b.used--
		if b.used > 0 {
			return Loan{}, false
		}
		loan := b.Loan
		c.borrowed = slices.Delete(c.borrowed, i, i+1)
		return loan, true
	}
	return Loan{}, false
}

// SetEmpty notes that no peer had a slot to lend, so that none is asked before the time.
func (c *Count) SetEmpty(until time.Time) { c.emptyTill = until }

// Empty returns the time before which asking peers is pointless.
func (c *Count) Empty() time.Time { return c.emptyTill }

// Lend subtracts up to so many free slots; false when none is free.
func (c *Count) Lend(now time.Time, peer ident.Host, slots int, deadline time.Time) (Loan, bool) {
	c.settle(now)
	n := min(slots, c.free(now))
	if n <= 0 {
		return Loan{}, false
	}
	c.sequence++
	l := Loan{Peer: peer, Sequence: c.sequence, Amount: Amount{Burst: int64(n) * Unit}, Deadline: deadline}
	c.lent = append(c.lent, l)
	return l, true
}

// Borrow adds slots from a peer.
func (c *Count) Borrow(now time.Time, l Loan) {
	if l.Deadline.After(now) {
		c.borrowed = append(c.borrowed, borrowedSlots{Loan: l})
	}
}

// Returned takes back a loan before its deadline. Repeats do nothing.
func (c *Count) Returned(peer ident.Host, sequence int64) {
	c.lent = slices.DeleteFunc(c.lent, func(l Loan) bool { return l.Peer == peer && l.Sequence == sequence })
}

// GiveBack ends the borrowed loans that no request uses and returns them.
func (c *Count) GiveBack(now time.Time) []Loan {
	c.settle(now)
	var list []Loan
	c.borrowed = slices.DeleteFunc(c.borrowed, func(b borrowedSlots) bool {
		if b.used > 0 {
			return false
		}
		list = append(list, b.Loan)
		return true
	})
	return list
}

// Spare returns how many slots could be taken now.
func (c *Count) Spare(now time.Time) int {
	c.settle(now)
	n := c.free(now)
	for _, b := range c.borrowed {
		n += int(b.Amount.Burst/Unit) - b.used
	}
	return n
}

// Settled tells whether a smaller base still covers the slots in use and lent.
func (c *Count) Settled(now time.Time, slots int) bool {
	c.settle(now)
	n := c.used
	for _, l := range c.lent {
		n += int(l.Amount.Burst / Unit)
	}
	return n <= slots
}
