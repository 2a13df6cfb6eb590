package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

// Concurrency is one host's share of a limit on concurrent requests. Each running request holds one slot.
type Concurrency struct {
	base     int
	usableAt time.Time // before this, slots of the base are not handed out: requests of a lost host may still use them
	used     int
	lent     []Loan
	borrowed []borrowedSlots
	sequence int64

	borrowAfter time.Time
}

type borrowedSlots struct {
	Loan
	used int
}

// Slot is a slot held by a request. Deadline is the time by which the request must have ended if the slot is borrowed,
// and zero otherwise.
type Slot struct {
	lender   ident.Host
	sequence int64
	Deadline time.Time
}

// NewConcurrency returns a share without slots.
func NewConcurrency() *Concurrency { return &Concurrency{} }

// SetBase sets the number of slots that this host holds. If the number grows, slots of the base are handed out only from
// usableAt on.
func (c *Concurrency) SetBase(slots int, usableAt time.Time) {
	if slots > c.base && usableAt.After(c.usableAt) {
		c.usableAt = usableAt
	}
	c.base = slots
}

func (c *Concurrency) expireLoans(now time.Time) {
	c.lent = slices.DeleteFunc(c.lent, func(l Loan) bool { return !l.Deadline.After(now) })
	c.borrowed = slices.DeleteFunc(c.borrowed, func(b borrowedSlots) bool { return !b.Deadline.After(now) })
}

func (c *Concurrency) freeBase(now time.Time) int {
	if now.Before(c.usableAt) {
		return 0
	}
	n := c.base - c.used
	for _, l := range c.lent {
		n -= int(l.Amount.Burst / Unit)
	}
	return max(n, 0)
}

// Take assigns a slot to a request that ends at the latest at until. It returns false if no slot is free for that long.
func (c *Concurrency) Take(now, until time.Time) (Slot, bool) {
	c.expireLoans(now)
	if c.freeBase(now) > 0 {
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

// Release frees a slot. If it was the last slot in use of a borrowed loan, Release ends the loan and returns it, so that
// the caller can return it to the lender.
func (c *Concurrency) Release(s Slot) (Loan, bool) {
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

// SetBorrowAfter records that no peer had a slot to lend, so that none is asked before t.
func (c *Concurrency) SetBorrowAfter(t time.Time) { c.borrowAfter = t }

// BorrowAfter returns the time before which peers are not asked because they had no slot to lend.
func (c *Concurrency) BorrowAfter() time.Time { return c.borrowAfter }

// Lend subtracts a loan of at most the given number of slots and returns it. It returns false if no slot is free.
func (c *Concurrency) Lend(now time.Time, peer ident.Host, slots int, deadline time.Time) (Loan, bool) {
	c.expireLoans(now)
	n := min(slots, c.freeBase(now))
	if n <= 0 {
		return Loan{}, false
	}
	c.sequence++
	l := Loan{Peer: peer, Sequence: c.sequence, Amount: Amount{Burst: int64(n) * Unit}, Deadline: deadline}
	c.lent = append(c.lent, l)
	return l, true
}

// Borrow adds slots lent by a peer, unless the loan has already ended.
func (c *Concurrency) Borrow(now time.Time, l Loan) {
	if l.Deadline.After(now) {
		c.borrowed = append(c.borrowed, borrowedSlots{Loan: l})
	}
}

// AcceptReturn ends a loan to a peer before its deadline. Calling it again for the same loan has no effect.
func (c *Concurrency) AcceptReturn(peer ident.Host, sequence int64) {
	c.lent = slices.DeleteFunc(c.lent, func(l Loan) bool { return l.Peer == peer && l.Sequence == sequence })
}

// ReturnBorrowed ends the borrowed loans that no request uses and returns them.
func (c *Concurrency) ReturnBorrowed(now time.Time) []Loan {
	c.expireLoans(now)
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

// Available returns the number of free slots, including borrowed ones.
func (c *Concurrency) Available(now time.Time) int {
	c.expireLoans(now)
	n := c.freeBase(now)
	for _, b := range c.borrowed {
		n += int(b.Amount.Burst/Unit) - b.used
	}
	return n
}

// CanShrink reports whether a base of the given number of slots covers the slots in use and on loan.
func (c *Concurrency) CanShrink(now time.Time, slots int) bool {
	c.expireLoans(now)
	n := c.used
	for _, l := range c.lent {
		n += int(l.Amount.Burst / Unit)
	}
	return n <= slots
}
