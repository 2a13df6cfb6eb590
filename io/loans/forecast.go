package loans

import (
	"context"
	"time"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

// Run borrows ahead of need and gives back what is no longer needed, until the context ends.
func (l *Loans) Run(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			l.Tick(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// Tick does one round of forecasts over all rates and of returns over all slots.
func (l *Loans) Tick(ctx context.Context) {
	for _, q := range l.seams.Book.Quantities(share.KindRate) {
		l.balance(ctx, q)
	}
	for _, q := range l.seams.Book.Quantities(share.KindCount) {
		var loans []share.Loan
		l.seams.Book.Count(q, func(c *share.Count) { loans = c.GiveBack(l.seams.Now()) })
		l.giveBack(ctx, q, loans)
	}
}

// balance gives back unneeded loans of a rate, or asks for more where demand is about to exceed the share.
func (l *Loans) balance(ctx context.Context, q ident.Quantity) {
	var loans []share.Loan
	var short int64
	now := l.seams.Now()
	l.seams.Book.Rate(q, func(r *share.Rate) {
		loans = r.GiveBack(now, false)
		short = r.Shortfall(now)
	})
	l.giveBack(ctx, q, loans)
	if short > 0 {
		go l.borrowAhead(ctx, q, short)
	}
}

func (l *Loans) borrowAhead(ctx context.Context, q ident.Quantity, short int64) {
	for _, host := range l.lenders(q) {
		got := l.ask(ctx, q, host, share.Amount{Rate: short}, steadyTerm)
		short -= got.Rate
		if short <= 0 || ctx.Err() != nil {
			return
		}
	}
}

func (l *Loans) giveBack(ctx context.Context, q ident.Quantity, loans []share.Loan) {
	for _, loan := range loans {
		back := &wire.LoanGrant{Quantity: string(q), Sequence: int(loan.Sequence), Tokens: int(loan.Amount.Tokens)}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, _ = l.seams.Call(ctx, loan.Peer, wire.Frame{LoanReturn: back})
		}()
	}
}

// GiveBackAll returns every loan to its lender, for a host that stops.
func (l *Loans) GiveBackAll(ctx context.Context) {
	for _, q := range l.seams.Book.Quantities(share.KindRate) {
		var loans []share.Loan
		l.seams.Book.Rate(q, func(r *share.Rate) { loans = r.GiveBack(l.seams.Now(), true) })
		l.giveBack(ctx, q, loans)
	}
	for _, q := range l.seams.Book.Quantities(share.KindCount) {
		var loans []share.Loan
		l.seams.Book.Count(q, func(c *share.Count) { loans = c.GiveBack(l.seams.Now()) })
		l.giveBack(ctx, q, loans)
	}
}
