package loans

import (
	"context"
	"time"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/ticker"
)

// Run calls Tick every tickPeriod until ctx is done.
func (l *Limiter) Run(ctx context.Context) {
	ticker.Every(ctx, tickPeriod, func() { l.Tick(ctx) })
}

// Tick balances the loans of all rates and returns the borrowed slots that no request uses.
func (l *Limiter) Tick(ctx context.Context) {
	l.deps.Registry.Refresh(l.deps.Now())
	for _, q := range l.deps.Registry.Quantities(share.KindRate) {
		l.balance(ctx, q)
	}
	l.returnUnusedSlots(ctx)
}

// balance returns loans of a rate that this host no longer needs, extends loans that are about to end, pools the region's
// shares if this host is the pool host, and borrows if demand is about to exceed the share.
func (l *Limiter) balance(ctx context.Context, q ident.Quantity) {
	var toReturn, expiring []share.Loan
	var ask, extension share.Ask
	var shortage, idle bool
	now := l.deps.Now()
	pools := l.isPoolHost(q)
	l.deps.Registry.WithRate(q, func(r *share.Rate) {
		toReturn = r.ReturnBorrowed(now, false, pools)
		expiring = r.Expiring(now.Add(pooledExtensionWindow), now.Add(steadyExtensionWindow), now)
		ask, shortage = r.Shortage(now)
		extension = r.ExtensionAsk(now)
		idle = r.Idle(now)
	})
	l.returnLoans(ctx, q, toReturn)
	if idle {
		return
	}
	for _, loan := range expiring {
		go l.extendLoan(ctx, q, loan, extension)
	}
	if pools {
		l.poolShares(ctx, q)
	}
	if shortage {
		ask.MinBurst = minSteadyBurst
		if pools {
			ask.MinBurst = minPooledBurst
		}
		go l.borrowRate(ctx, q, ask)
	}
}

// poolShares asks the region's owners to lend their whole remaining shares to this host.
func (l *Limiter) poolShares(ctx context.Context, q ident.Quantity) {
	for _, host := range l.regionOwners(q) {
		if l.poolingDue(q, host) {
			go l.borrow(ctx, q, host, wire.LoanAsk{All: true}, pooledLoanTerm)
		}
	}
}

// poolingDue reports whether poolingPeriod has passed since an owner was last asked for its whole share. If so, it starts
// the next period.
func (l *Limiter) poolingDue(q ident.Quantity, host ident.Host) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := ownerKey{q, host}
	now := l.deps.Now()
	if now.Before(l.nextPooling[key]) {
		return false
	}
	l.nextPooling[key] = now.Add(poolingPeriod)
	return true
}

// extendLoan asks the lender to extend a loan, and moves the local deadline if it agrees.
func (l *Limiter) extendLoan(ctx context.Context, q ident.Quantity, loan share.Loan, current share.Ask) {
	term := steadyLoanTerm
	if loan.Pooled {
		term = pooledLoanTerm
	}
	deadline := l.deps.Now().Add(term)
	ask := wire.LoanAsk{
		Quantity: string(q), Extend: int(loan.Sequence), TermMs: int(term / time.Millisecond),
		Demand: int(current.Demand), Held: int(current.HeldRate),
	}
	if g, ok := l.sendAsk(ctx, loan.Peer, ask); ok && int64(g.Sequence) == loan.Sequence {
		l.deps.Registry.WithRate(q, func(r *share.Rate) { r.ExtendBorrowed(l.deps.Now(), loan.Peer, loan.Sequence, deadline) })
	}
}

// borrowRate asks peers in turn for loans that give both hosts the same ratio of rate to demand.
func (l *Limiter) borrowRate(ctx context.Context, q ident.Quantity, ask share.Ask) {
	for _, host := range l.peersToAsk(q) {
		amount := l.borrow(ctx, q, host, wire.LoanAsk{Demand: int(ask.Demand), Held: int(ask.HeldRate), Burst: int(ask.MinBurst)}, steadyLoanTerm)
		ask.HeldRate += amount.Rate
		if ctx.Err() != nil {
			return
		}
	}
}

// returnLoans sends loans back to their lenders and does not wait for the answers. A loan whose return is lost ends at its
// deadline.
func (l *Limiter) returnLoans(ctx context.Context, q ident.Quantity, loans []share.Loan) {
	for _, loan := range loans {
		returned := &wire.LoanGrant{Quantity: string(q), Sequence: int(loan.Sequence), Tokens: int(loan.Amount.Tokens)}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			_, _ = l.deps.Call(ctx, loan.Peer, wire.Frame{LoanReturn: returned})
		}()
	}
}

// ReturnAll returns all rate loans and the unused slots to their lenders. It is called when the host stops.
func (l *Limiter) ReturnAll(ctx context.Context) {
	for _, q := range l.deps.Registry.Quantities(share.KindRate) {
		var loans []share.Loan
		l.deps.Registry.WithRate(q, func(r *share.Rate) { loans = r.ReturnBorrowed(l.deps.Now(), true, false) })
		l.returnLoans(ctx, q, loans)
	}
	l.returnUnusedSlots(ctx)
}

// returnUnusedSlots returns the borrowed slots that no request uses to their lenders.
func (l *Limiter) returnUnusedSlots(ctx context.Context) {
	for _, q := range l.deps.Registry.Quantities(share.KindConcurrency) {
		var loans []share.Loan
		l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { loans = c.ReturnBorrowed(l.deps.Now()) })
		l.returnLoans(ctx, q, loans)
	}
}
