package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

// Ask is a peer's request for a loan: of tokens to use at once, or of rate for steady demand.
type Ask struct {
	Tokens   int64 // tokens wanted, in millionths, when asking for tokens
	Demand   int64 // demand at the asking host, in millionths per second, when asking for rate
	HeldRate int64 // rate that the asking host holds, in millionths per second
	MinBurst int64 // smallest burst worth lending, in millionths
}

// Lend subtracts a loan from the share and returns it. It returns false if the share has too little to lend.
// Tokens asked for by a host of the same region count as demand at this host.
// The deadline is on this host's clock and must be later than the borrower's by the margin for clock drift.
func (r *Rate) Lend(now time.Time, peer ident.Host, ask Ask, deadline time.Time, sameRegion bool) (Loan, bool) {
	r.advance(now)
	if ask.Demand > 0 {
		return r.lend(peer, r.rateToLend(now, ask, deadline), deadline)
	}
	if sameRegion {
		r.demand.add(now, ask.Tokens)
	}
	return r.lend(peer, r.tokensToLend(ask, deadline), deadline)
}

// LendReserved ends a reservation of n millionths and lends them to a peer. It returns false if the share has become too
// small since they were reserved.
func (r *Rate) LendReserved(now time.Time, peer ident.Host, n int64, deadline time.Time) (Loan, bool) {
	r.advance(now)
	r.reserved -= n
	if r.tokens < n || r.lendable(deadline).Burst < n {
		return Loan{}, false
	}
	return r.lend(peer, Amount{Burst: n, Tokens: n}, deadline)
}

// LendAll lends everything that is not on loan yet to the host that pools the region's shares.
func (r *Rate) LendAll(now time.Time, peer ident.Host, deadline time.Time) (Loan, bool) {
	r.advance(now)
	amount := r.lendable(deadline)
	amount.Tokens = min(r.tokens, amount.Burst)
	loan, ok := r.lend(peer, amount, deadline)
	if ok {
		r.lent[len(r.lent)-1].Pooled = true
	}
	return loan, ok
}

func (r *Rate) lend(peer ident.Host, amount Amount, deadline time.Time) (Loan, bool) {
	if amount.Burst <= 0 {
		return Loan{}, false
	}
	r.sequence++
	r.tokens -= amount.Tokens
	l := Loan{Peer: peer, Sequence: r.sequence, Amount: amount, Deadline: deadline}
	r.lent = append(r.lent, l)
	r.capTokens()
	return l, true
}

// Extend moves the deadline of a loan that has not ended. It returns false if there is no such loan, if the loan was made
// from borrowed loans that end before the new deadline, or if it is not pooled and this host has become clearly shorter
// of rate than the borrower.
func (r *Rate) Extend(now time.Time, peer ident.Host, sequence int64, ask Ask, deadline time.Time) (Loan, bool) {
	r.advance(now)
	i := slices.IndexFunc(r.lent, func(l Loan) bool { return l.Peer == peer && l.Sequence == sequence })
	if i < 0 {
		return Loan{}, false
	}
	l := &r.lent[i]
	if !l.Pooled && balancingRate(r.rate(), r.demand.rate(now), ask.HeldRate, ask.Demand) < -(r.rate()+ask.HeldRate)/recallDivisor {
		return Loan{}, false
	}
	if available := r.unlent(deadline); available.Rate < 0 || available.Burst < 0 {
		return Loan{}, false
	}
	l.Deadline = later(l.Deadline, deadline)
	return *l, true
}

// balancingRate returns the rate that one host must lend to another so that both have the same ratio of rate to demand.
func balancingRate(held, demand, otherHeld, otherDemand int64) int64 {
	total := demand + otherDemand
	if total <= 0 {
		return 0
	}
	ratio := float64(otherDemand) / float64(total)
	return int64(float64(held+otherHeld)*ratio) - otherHeld
}

// unlent returns the base plus the borrowed loans that last until the deadline, less all that is lent. It may be negative.
func (r *Rate) unlent(deadline time.Time) Amount {
	a := Amount{Rate: r.base.Rate, Burst: r.base.Burst}
	for _, l := range r.borrowed {
		if !l.Deadline.Before(deadline) {
			a.Rate += l.Amount.Rate
			a.Burst += l.Amount.Burst
		}
	}
	for _, l := range r.lent {
		a.Rate -= l.Amount.Rate
		a.Burst -= l.Amount.Burst
	}
	return a
}

// lendable returns the rate and burst that can be lent until the deadline.
func (r *Rate) lendable(deadline time.Time) Amount {
	a := r.unlent(deadline)
	return Amount{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0)}
}

// tokensToLend returns the tokens asked for, or nothing if this host cannot lend all of them.
func (r *Rate) tokensToLend(ask Ask, deadline time.Time) Amount {
	n := min(ask.Tokens, r.lendable(deadline).Burst, r.tokens-r.reserved)
	if n < ask.Tokens {
		return Amount{}
	}
	return Amount{Burst: n, Tokens: n}
}

// rateToLend returns the amount that gives both hosts the same ratio of rate to demand, or nothing if it is too small to
// be worth a loan.
func (r *Rate) rateToLend(now time.Time, ask Ask, deadline time.Time) Amount {
	available := r.lendable(deadline)
	rate := min(balancingRate(r.rate(), r.demand.rate(now), ask.HeldRate, ask.Demand), available.Rate)
	burst := min(fraction(available.Burst, rate, available.Rate), available.Burst-lenderReserve)
	if rate < r.rate()/minTransferDivisor || burst <= 0 || burst < ask.MinBurst {
		return Amount{}
	}
	tokens := min(fraction(r.tokens, burst, r.burst()), burst)
	return Amount{Rate: rate, Burst: burst, Tokens: tokens}
}

// AcceptReturn ends a loan to a peer before its deadline and adds the tokens that the borrower has subtracted. Calling it
// again for the same loan has no effect.
func (r *Rate) AcceptReturn(now time.Time, peer ident.Host, sequence, tokens int64) {
	r.advance(now)
	i := slices.IndexFunc(r.lent, func(l Loan) bool { return l.Peer == peer && l.Sequence == sequence })
	if i < 0 {
		return
	}
	tokens = min(tokens, r.lent[i].Amount.Burst)
	r.lent = slices.Delete(r.lent, i, i+1)
	r.tokens += max(tokens, 0)
	r.capTokens()
}

// CanShrink reports whether a base of the given rate and burst, together with the borrowed loans that last as long as
// every loan made, covers all that is lent.
func (r *Rate) CanShrink(now time.Time, rate, burst int64) bool {
	r.advance(now)
	latest := now
	for _, l := range r.lent {
		latest = later(latest, l.Deadline)
	}
	a := r.unlent(latest)
	return a.Rate-r.base.Rate+rate >= 0 && a.Burst-r.base.Burst+burst >= 0
}
