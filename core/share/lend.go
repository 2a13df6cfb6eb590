package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

// Ask is what a peer asks for: tokens at once, or a part of the rate for steady demand.
type Ask struct {
	Tokens int64 // millionths, for an ask for tokens
	Demand int64 // the asker's demand in millionths a second, for an ask for rate
	Held   int64 // the rate that the asker holds
	Least  int64 // smallest burst worth having
}

// Lend subtracts a loan from the share and returns it; false when there is nothing to spare.
// Tokens asked for from near, this region, count as demand here.
// The deadline is on this host's clock and must lie after the borrower's by the drift margin.
func (r *Rate) Lend(now time.Time, peer ident.Host, ask Ask, deadline time.Time, near bool) (Loan, bool) {
	r.settle(now)
	if ask.Demand > 0 {
		return r.lend(peer, r.spareRate(now, ask, deadline), deadline)
	}
	if near {
		r.demand.add(now, ask.Tokens)
	}
	return r.lend(peer, r.spareTokens(ask, deadline), deadline)
}

// LendPromised lends what was promised to a peer's request; false when the share shrank meanwhile.
func (r *Rate) LendPromised(now time.Time, peer ident.Host, n int64, deadline time.Time) (Loan, bool) {
	r.settle(now)
	r.promised -= n
	if r.tokens < n || r.lendable(deadline).Burst < n {
		return Loan{}, false
	}
	return r.lend(peer, Amount{Burst: n, Tokens: n}, deadline)
}

// LendAll lends everything that is not on loan yet to the host that gathers the region's shares.
func (r *Rate) LendAll(now time.Time, peer ident.Host, deadline time.Time) (Loan, bool) {
	r.settle(now)
	give := r.lendable(deadline)
	give.Tokens = min(r.tokens, give.Burst)
	loan, ok := r.lend(peer, give, deadline)
	if ok {
		r.lent[len(r.lent)-1].Gathered = true
	}
	return loan, ok
}

func (r *Rate) lend(peer ident.Host, give Amount, deadline time.Time) (Loan, bool) {
	if give.Burst <= 0 {
		return Loan{}, false
	}
	r.sequence++
	r.tokens -= give.Tokens
	l := Loan{Peer: peer, Sequence: r.sequence, Amount: give, Deadline: deadline}
	r.lent = append(r.lent, l)
	r.trim()
	return l, true
}

// Extend moves the deadline of a loan that has not ended; false when there is no such loan, when what it was made
// from ends before, or when it was lent for steady demand and this host has become clearly shorter than the borrower.
func (r *Rate) Extend(now time.Time, peer ident.Host, sequence int64, ask Ask, deadline time.Time) (Loan, bool) {
	r.settle(now)
	i := slices.IndexFunc(r.lent, func(l Loan) bool { return l.Peer == peer && l.Sequence == sequence })
	if i < 0 {
		return Loan{}, false
	}
	l := &r.lent[i]
	if !l.Gathered && balance(r.rate(), r.demand.rate(now), ask.Held, ask.Demand) < -(r.rate()+ask.Held)/recallParts {
		return Loan{}, false
	}
	if free := r.free(deadline); free.Rate < 0 || free.Burst < 0 {
		return Loan{}, false
	}
	l.Deadline = later(l.Deadline, deadline)
	return *l, true
}

// balance returns the rate that one host must pass to another so that both have the same rate for their demand.
func balance(held, demand, otherHeld, otherDemand int64) int64 {
	all := demand + otherDemand
	if all <= 0 {
		return 0
	}
	part := float64(otherDemand) / float64(all)
	return int64(float64(held+otherHeld)*part) - otherHeld
}

// free returns the base and the loans that last until the deadline, less what is lent; it may be negative.
func (r *Rate) free(deadline time.Time) Amount {
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

// lendable returns what can be lent until the deadline.
func (r *Rate) lendable(deadline time.Time) Amount {
	a := r.free(deadline)
	return Amount{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0)}
}

func (r *Rate) spareTokens(ask Ask, deadline time.Time) Amount {
	give := min(ask.Tokens, r.lendable(deadline).Burst, r.tokens-r.promised)
	if give < ask.Tokens {
		return Amount{}
	}
	return Amount{Burst: give, Tokens: give}
}

// spareRate returns what evens the two hosts' rates for their demands, when that is worth a loan.
func (r *Rate) spareRate(now time.Time, ask Ask, deadline time.Time) Amount {
	own := r.lendable(deadline)
	spare := min(balance(r.rate(), r.demand.rate(now), ask.Held, ask.Demand), own.Rate)
	burst := min(fraction(own.Burst, spare, own.Rate), own.Burst-keptBurst)
	if spare < r.rate()/slackParts || burst <= 0 || burst < ask.Least {
		return Amount{}
	}
	tokens := min(fraction(r.tokens, burst, r.burst()), burst)
	return Amount{Rate: spare, Burst: burst, Tokens: tokens}
}

// Returned takes back a loan before its deadline, with the tokens that the borrower subtracted. Repeats do nothing.
func (r *Rate) Returned(now time.Time, peer ident.Host, sequence, tokens int64) {
	r.settle(now)
	i := slices.IndexFunc(r.lent, func(l Loan) bool { return l.Peer == peer && l.Sequence == sequence })
	if i < 0 {
		return
	}
	tokens = min(tokens, r.lent[i].Amount.Burst)
	r.lent = slices.Delete(r.lent, i, i+1)
	r.tokens += max(tokens, 0)
	r.trim()
}

// Settled tells whether a smaller base still covers all that is lent, together with loans that last as long.
func (r *Rate) Settled(now time.Time, rate, burst int64) bool {
	r.settle(now)
	last := now
	for _, l := range r.lent {
		last = later(last, l.Deadline)
	}
	a := r.free(last)
	return a.Rate-r.base.Rate+rate >= 0 && a.Burst-r.base.Burst+burst >= 0
}
