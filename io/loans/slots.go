package loans

import (
	"context"
	"time"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

// Slot takes one slot of a number of slots for a request that ends by the time given.
func (l *Loans) Slot(ctx context.Context, q ident.Quantity, until time.Time) (share.Slot, error) {
	if slot, ok := l.takeSlot(q, until); ok {
		return slot, nil
	}
	if l.SlotsEmpty(q) {
		return share.Slot{}, &Refusal{Quantity: q, After: emptyMost}
	}
	for _, host := range l.seams.Book.Holders(q) {
		term := until.Sub(l.seams.Now()) + slotSlack
		l.borrow(ctx, q, host, wire.LoanAsk{Burst: int(share.Unit)}, term)
		if slot, ok := l.takeSlot(q, until); ok {
			return slot, nil
		}
	}
	empty := l.seams.Now().Add(slotPause)
	l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { c.SetBorrowAfter(empty) })
	return share.Slot{}, &Refusal{Quantity: q, After: emptyMost}
}

// SlotsEmpty tells whether a peer was just asked for these slots and had none.
func (l *Loans) SlotsEmpty(q ident.Quantity) bool {
	empty := false
	now := l.seams.Now()
	l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { empty = now.Before(c.BorrowAfter()) })
	return empty
}

func (l *Loans) takeSlot(q ident.Quantity, until time.Time) (slot share.Slot, ok bool) {
	l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { slot, ok = c.Take(l.seams.Now(), until) })
	return slot, ok
}

// FreeSlot gives a slot back, and a borrowed one to its lender at once.
func (l *Loans) FreeSlot(q ident.Quantity, s share.Slot) {
	var loan share.Loan
	ended := false
	l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { loan, ended = c.Release(s) })
	if ended {
		l.giveBack(context.Background(), q, []share.Loan{loan})
	}
}
