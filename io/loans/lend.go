package loans

import (
	"context"
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

// Lend answers a peer's ask. The loan is subtracted before the answer leaves. An ask for tokens waits shortly for its
// turn when the share is empty.
func (l *Loans) Lend(ctx context.Context, peer ident.Host, a *wire.LoanAsk) *wire.Frame {
	q := ident.Quantity(a.Quantity)
	grant := &wire.LoanGrant{Quantity: a.Quantity}
	near := !a.Again && slices.Contains(l.seams.Near(), peer)
	if !l.lendRate(q, peer, a, near, grant) {
		l.lendSlots(q, peer, a, grant)
		return &wire.Frame{LoanGrant: grant}
	}
	if grant.Burst == 0 && a.Tokens > 0 {
		l.lendLater(ctx, q, peer, a, grant)
	}
	return &wire.Frame{LoanGrant: grant}
}

// deadline returns how long a loan counts against this host: longer than the borrower's by the drift margin.
// A lender that loses its seat must have no rate on loan by then.
func (l *Loans) deadline(now time.Time, a *wire.LoanAsk) (time.Time, bool) {
	term := time.Duration(a.TermMs) * time.Millisecond
	deadline := now.Add(term + term/driftShare + driftMargin)
	return deadline, !deadline.After(l.seams.LeaseDeadline(now))
}

func (l *Loans) lendRate(q ident.Quantity, peer ident.Host, a *wire.LoanAsk, near bool, grant *wire.LoanGrant) bool {
	now := l.seams.Now()
	deadline, serving := l.deadline(now, a)
	return l.seams.Book.WithRate(q, func(r *share.Rate) {
		if !serving {
			return
		}
		loan, ok := lend(r, now, peer, a, deadline, near)
		fill(grant, loan, ok)
		grant.Spare = int(r.Available(now))
		grant.Demand = int(r.Demand(now))
		grant.Beyond = r.OverLimit(now)
	})
}

// lendLater lends tokens to a peer's request once its turn has come.
func (l *Loans) lendLater(ctx context.Context, q ident.Quantity, peer ident.Host, a *wire.LoanAsk, grant *wire.LoanGrant) {
	patience := min(time.Duration(a.PatienceMs)*time.Millisecond, longestWait)
	if !l.waitTurn(ctx, q, int64(a.Tokens), patience) {
		return
	}
	now := l.seams.Now()
	deadline, serving := l.deadline(now, a)
	l.seams.Book.WithRate(q, func(r *share.Rate) {
		loan, ok := r.LendReserved(now, peer, int64(a.Tokens), deadline)
		if serving {
			fill(grant, loan, ok)
		}
	})
}

// lendSlots lends slots, which may stay on loan longer than the lender's seat, since their next holder waits for the
// longest request before it hands them out.
func (l *Loans) lendSlots(q ident.Quantity, peer ident.Host, a *wire.LoanAsk, grant *wire.LoanGrant) {
	now := l.seams.Now()
	deadline, _ := l.deadline(now, a)
	if !now.Before(l.seams.LeaseDeadline(now)) {
		return
	}
	l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) {
		loan, ok := c.Lend(now, peer, a.Burst/int(share.Unit), deadline)
		fill(grant, loan, ok)
		grant.Spare = c.Available(now)
	})
}

func lend(r *share.Rate, now time.Time, peer ident.Host, a *wire.LoanAsk, deadline time.Time, near bool) (share.Loan, bool) {
	ask := share.Ask{Tokens: int64(a.Tokens), Demand: int64(a.Demand), HeldRate: int64(a.Held), MinBurst: int64(a.Burst)}
	switch {
	case a.Extend > 0:
		return r.Extend(now, peer, int64(a.Extend), ask, deadline)
	case a.All:
		return r.LendAll(now, peer, deadline)
	}
	return r.Lend(now, peer, ask, deadline, near)
}

func fill(g *wire.LoanGrant, loan share.Loan, ok bool) {
	if !ok {
		return
	}
	g.Sequence = int(loan.Sequence)
	g.Rate = int(loan.Amount.Rate)
	g.Burst = int(loan.Amount.Burst)
	g.Tokens = int(loan.Amount.Tokens)
}

// Returned takes back a loan that a peer no longer needs.
func (l *Loans) Returned(peer ident.Host, g *wire.LoanGrant) {
	q := ident.Quantity(g.Quantity)
	now := l.seams.Now()
	if !l.seams.Book.WithRate(q, func(r *share.Rate) { r.AcceptReturn(now, peer, int64(g.Sequence), int64(g.Tokens)) }) {
		l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { c.AcceptReturn(peer, int64(g.Sequence)) })
	}
}
