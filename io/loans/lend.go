package loans

import (
	"context"
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

// Lend answers a peer's ask. The loan is subtracted from the local share before the answer is sent. If the share is empty,
// an ask for tokens waits for them, for at most the shorter of the time given in the ask and maxFinalWait.
func (l *Limiter) Lend(ctx context.Context, peer ident.Host, a *wire.LoanAsk) *wire.Frame {
	q := ident.Quantity(a.Quantity)
	grant := &wire.LoanGrant{Quantity: a.Quantity}
	sameRegion := !a.Again && slices.Contains(l.deps.RegionHosts(), peer)
	if !l.lendRate(q, peer, a, sameRegion, grant) {
		l.lendSlots(q, peer, a, grant)
		return &wire.Frame{LoanGrant: grant}
	}
	if grant.Burst == 0 && a.Tokens > 0 {
		l.lendAfterWait(ctx, q, peer, a, grant)
	}
	return &wire.Frame{LoanGrant: grant}
}

// loanDeadline returns the deadline of a loan on this host's clock. It is later than the borrower's by a margin for clock
// drift. It also reports whether the deadline is within this host's lease: a host that loses its seat must have no rate on
// loan by then.
func (l *Limiter) loanDeadline(now time.Time, a *wire.LoanAsk) (time.Time, bool) {
	term := time.Duration(a.TermMs) * time.Millisecond
	deadline := now.Add(term + term/driftDivisor + driftMargin)
	return deadline, !deadline.After(l.deps.LeaseDeadline(now))
}

func (l *Limiter) lendRate(q ident.Quantity, peer ident.Host, a *wire.LoanAsk, sameRegion bool, grant *wire.LoanGrant) bool {
	now := l.deps.Now()
	deadline, withinLease := l.loanDeadline(now, a)
	return l.deps.Registry.WithRate(q, func(r *share.Rate) {
		if !withinLease {
			return
		}
		loan, ok := lend(r, now, peer, a, deadline, sameRegion)
		fillGrant(grant, loan, ok)
		grant.Spare = int(r.Available(now))
		grant.Demand = int(r.Demand(now))
		grant.Beyond = r.OverLimit(now)
	})
}

// lendAfterWait reserves tokens for a peer's request, waits until they have accrued and lends them.
func (l *Limiter) lendAfterWait(ctx context.Context, q ident.Quantity, peer ident.Host, a *wire.LoanAsk, grant *wire.LoanGrant) {
	maxWait := min(time.Duration(a.PatienceMs)*time.Millisecond, maxFinalWait)
	if !l.waitForTokens(ctx, q, int64(a.Tokens), maxWait) {
		return
	}
	now := l.deps.Now()
	deadline, withinLease := l.loanDeadline(now, a)
	l.deps.Registry.WithRate(q, func(r *share.Rate) {
		loan, ok := r.LendReserved(now, peer, int64(a.Tokens), deadline)
		if withinLease {
			fillGrant(grant, loan, ok)
		}
	})
}

// lendSlots lends slots. Unlike rate, slots may be on loan after the end of the lender's lease, since the next owner of the
// partition waits for the longest request time before it hands them out.
func (l *Limiter) lendSlots(q ident.Quantity, peer ident.Host, a *wire.LoanAsk, grant *wire.LoanGrant) {
	now := l.deps.Now()
	deadline, _ := l.loanDeadline(now, a)
	if !now.Before(l.deps.LeaseDeadline(now)) {
		return
	}
	l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) {
		loan, ok := c.Lend(now, peer, a.Burst/int(share.Unit), deadline)
		fillGrant(grant, loan, ok)
		grant.Spare = c.Available(now)
	})
}

func lend(r *share.Rate, now time.Time, peer ident.Host, a *wire.LoanAsk, deadline time.Time, sameRegion bool) (share.Loan, bool) {
	ask := share.Ask{Tokens: int64(a.Tokens), Demand: int64(a.Demand), HeldRate: int64(a.Held), MinBurst: int64(a.Burst)}
	switch {
	case a.Extend > 0:
		return r.Extend(now, peer, int64(a.Extend), ask, deadline)
	case a.All:
		return r.LendAll(now, peer, deadline)
	}
	return r.Lend(now, peer, ask, deadline, sameRegion)
}

func fillGrant(g *wire.LoanGrant, loan share.Loan, ok bool) {
	if !ok {
		return
	}
	g.Sequence = int(loan.Sequence)
	g.Rate = int(loan.Amount.Rate)
	g.Burst = int(loan.Amount.Burst)
	g.Tokens = int(loan.Amount.Tokens)
}

// AcceptReturn ends a loan that a peer returned before its deadline.
func (l *Limiter) AcceptReturn(peer ident.Host, g *wire.LoanGrant) {
	q := ident.Quantity(g.Quantity)
	now := l.deps.Now()
	if !l.deps.Registry.WithRate(q, func(r *share.Rate) { r.AcceptReturn(now, peer, int64(g.Sequence), int64(g.Tokens)) }) {
		l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { c.AcceptReturn(peer, int64(g.Sequence)) })
	}
}
