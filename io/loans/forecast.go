package loans

import (
	"context"
	"time"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/pulse"
)

// Run borrows ahead of need and gives back what is no longer needed, until the context ends.
func (l *Loans) Run(ctx context.Context) {
	pulse.Every(ctx, tickPeriod, func() { l.Tick(ctx) })
}

// Tick does one round of gathering and forecasts over all rates, and of returns over all slots.
func (l *Loans) Tick(ctx context.Context) {
	l.seams.Book.Refresh(l.seams.Now())
	for _, q := range l.seams.Book.Quantities(share.KindRate) {
		l.balance(ctx, q)
	}
	l.returnSlots(ctx)
}

// balance gives back unneeded loans of a rate, gathers when it is this host's turn, and borrows where demand is about
// to exceed the share.
func (l *Loans) balance(ctx context.Context, q ident.Quantity) {
	var back, expiring []share.Loan
	var ask, state share.Ask
	var short, idle bool
	now := l.seams.Now()
	gathers := l.gathers(q)
	l.seams.Book.WithRate(q, func(r *share.Rate) {
		back = r.ReturnBorrowed(now, false, gathers)
		expiring = r.Expiring(now.Add(extendGathered), now.Add(extendSteady), now)
		ask, short = r.Shortage(now)
		state = r.ExtensionAsk(now)
		idle = r.Idle(now)
	})
	l.giveBack(ctx, q, back)
	if idle {
		return
	}
	for _, loan := range expiring {
		go l.extend(ctx, q, loan, state)
	}
	if gathers {
		l.gather(ctx, q)
	}
	if short {
		ask.MinBurst = leastFragment
		if gathers {
			ask.MinBurst = leastGathered
		}
		go l.borrowAhead(ctx, q, ask)
	}
}

// gather asks the region's holders for what they still have.
func (l *Loans) gather(ctx context.Context, q ident.Quantity) {
	for _, host := range l.nearHolders(q) {
		if l.due(q, host) {
			go l.borrow(ctx, q, host, wire.LoanAsk{All: true}, gatherTerm)
		}
	}
}

// due spaces out the asks for all that a holder has.
func (l *Loans) due(q ident.Quantity, host ident.Host) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := gatherKey{q, host}
	now := l.seams.Now()
	if now.Before(l.nextGather[key]) {
		return false
	}
	l.nextGather[key] = now.Add(gatherPeriod)
	return true
}

func (l *Loans) extend(ctx context.Context, q ident.Quantity, loan share.Loan, state share.Ask) {
	term := steadyTerm
	if loan.Pooled {
		term = gatherTerm
	}
	deadline := l.seams.Now().Add(term)
	ask := wire.LoanAsk{
		Quantity: string(q), Extend: int(loan.Sequence), TermMs: int(term / time.Millisecond),
		Demand: int(state.Demand), Held: int(state.HeldRate),
	}
	if g, ok := l.call(ctx, loan.Peer, ask); ok && int64(g.Sequence) == loan.Sequence {
		l.seams.Book.WithRate(q, func(r *share.Rate) { r.ExtendBorrowed(l.seams.Now(), loan.Peer, loan.Sequence, deadline) })
	}
}

// borrowAhead asks the peers in turn to even out their rates with this host's.
func (l *Loans) borrowAhead(ctx context.Context, q ident.Quantity, ask share.Ask) {
	for _, host := range l.lenders(q) {
		got := l.borrow(ctx, q, host, wire.LoanAsk{Demand: int(ask.Demand), Held: int(ask.HeldRate), Burst: int(ask.MinBurst)}, steadyTerm)
		ask.HeldRate += got.Rate
		if ctx.Err() != nil {
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
		l.seams.Book.WithRate(q, func(r *share.Rate) { loans = r.ReturnBorrowed(l.seams.Now(), true, false) })
		l.giveBack(ctx, q, loans)
	}
	l.returnSlots(ctx)
}

// returnSlots gives back the borrowed slots that no request uses.
func (l *Loans) returnSlots(ctx context.Context) {
	for _, q := range l.seams.Book.Quantities(share.KindConcurrency) {
		var loans []share.Loan
		l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { loans = c.ReturnBorrowed(l.seams.Now()) })
		l.giveBack(ctx, q, loans)
	}
}
