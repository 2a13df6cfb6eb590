package loans

import (
	"context"
	"time"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

// AcquireSlot acquires a slot for a request that ends by until. If no slot is free here, it borrows one from a peer.
// It returns an *ExhaustedError if no peer has one.
func (l *Limiter) AcquireSlot(ctx context.Context, q ident.Quantity, until time.Time) (share.Slot, error) {
	if slot, ok := l.takeSlot(q, until); ok {
		return slot, nil
	}
	if l.SlotsExhausted(q) {
		return share.Slot{}, &ExhaustedError{Quantity: q, RetryAfter: maxBorrowPause}
	}
	for _, host := range l.deps.Registry.Owners(q) {
		term := until.Sub(l.deps.Now()) + slotLoanMargin
		l.borrow(ctx, q, host, wire.LoanAsk{Burst: int(share.Unit)}, term)
		if slot, ok := l.takeSlot(q, until); ok {
			return slot, nil
		}
	}
	borrowAfter := l.deps.Now().Add(slotBorrowPause)
	l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { c.SetBorrowAfter(borrowAfter) })
	return share.Slot{}, &ExhaustedError{Quantity: q, RetryAfter: maxBorrowPause}
}

// SlotsExhausted reports whether no peer had a free slot of the quantity within the last slotBorrowPause.
func (l *Limiter) SlotsExhausted(q ident.Quantity) bool {
	exhausted := false
	now := l.deps.Now()
	l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { exhausted = now.Before(c.BorrowAfter()) })
	return exhausted
}

func (l *Limiter) takeSlot(q ident.Quantity, until time.Time) (slot share.Slot, ok bool) {
	l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { slot, ok = c.Take(l.deps.Now(), until) })
	return slot, ok
}

// ReleaseSlot releases a slot. When the last slot in use of a loan is released, the loan is returned to its lender at once.
func (l *Limiter) ReleaseSlot(q ident.Quantity, s share.Slot) {
	var loan share.Loan
	ended := false
	l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { loan, ended = c.Release(s) })
	if ended {
		l.returnLoans(context.Background(), q, []share.Loan{loan})
	}
}
