package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

const (
	wantPercent  = 160 // share of its own demand above which a borrower gives loans back
	slackParts   = 20  // differences below one part in so many of the rate are left as they are
	recallParts  = 8   // a loan is recalled when the difference exceeds one part in so many of both rates
	keepsPercent = 130 // share of its rate up to which demand counts as within it
	keepsFleet   = 115 // share of the limit up to which the demand of all regions counts as within it
	heardLife    = 1500 * time.Millisecond
	shortPercent = 125 // share of its own demand below which a borrower asks
	renewBefore  = 400 * time.Millisecond
	// idleDemand is the demand below which shares are left where they are, in millionths a second.
	idleDemand = Unit / 10_000
	// keptBurst is what a lender keeps of its bucket, so that it can still admit requests of its own.
	keptBurst = 2 * Unit
)

// Rate is one host's share of a rate and burst: a token bucket whose size changes with loans.
type Rate struct {
	base      Amount
	tokens    int64
	remainder uint64
	at        time.Time
	lent      []Loan
	borrowed  []Loan
	demand    meter
	sequence  int64
	emptyTill time.Time
	promised  int64 // tokens that waiting requests will take
	limit     int64 // rate of the whole limit
	heard     map[ident.Host]heardDemand
}

// heardDemand is the demand that a host elsewhere stated.
type heardDemand struct {
	demand int64
	at     time.Time
}

// NewRate returns an empty share.
func NewRate(now time.Time) *Rate { return &Rate{at: now, demand: meter{at: now}} }

// SetBase sets what the host holds of the limit; what it has lent counts against it.
// Tokens come only with full, for a limit that no other host can have spent from.
func (r *Rate) SetBase(now time.Time, rate, burst int64, full bool) {
	r.settle(now)
	r.base.Rate = rate
	r.base.Burst = burst
	if full {
		r.tokens = r.burst()
	}
	r.trim()
}

// held returns the refill rate and bucket size with loans counted.
func (r *Rate) held() Amount {
	a := Amount{Rate: r.base.Rate, Burst: r.base.Burst}
	for _, l := range r.lent {
		a.Rate -= l.Amount.Rate
		a.Burst -= l.Amount.Burst
	}
	for _, l := range r.borrowed {
		a.Rate += l.Amount.Rate
		a.Burst += l.Amount.Burst
	}
	return Amount{Rate: max(a.Rate, 0), Burst: max(a.Burst, 0)}
}

func (r *Rate) rate() int64 { return r.held().Rate }

func (r *Rate) burst() int64 { return r.held().Burst }

func (r *Rate) trim() { r.tokens = min(r.tokens, r.burst()) }

// settle accrues tokens up to now and ends the loans whose deadline has passed, in order of time.
func (r *Rate) settle(now time.Time) {
	for {
		next, ok := r.nextDeadline(now)
		if !ok {
			break
		}
		r.accrue(next)
		ended := func(l Loan) bool { return !l.Deadline.After(next) }
		r.borrowed = slices.DeleteFunc(r.borrowed, ended)
		r.lent = slices.DeleteFunc(r.lent, ended)
		r.trim()
	}
	r.accrue(now)
}

func (r *Rate) nextDeadline(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, list := range [][]Loan{r.borrowed, r.lent} {
		for _, l := range list {
			if !l.Deadline.After(now) && (next.IsZero() || l.Deadline.Before(next)) {
				next = l.Deadline
			}
		}
	}
	return next, !next.IsZero()
}

func (r *Rate) accrue(to time.Time) {
	d := to.Sub(r.at)
	if d <= 0 {
		return
	}
	var gained int64
	gained, r.remainder = accrued(r.rate(), d, r.remainder)
	r.at = to
	r.tokens += gained
	r.trim()
}

// Take spends n millionths, or nothing and returns false. Each first attempt counts as demand.
func (r *Rate) Take(now time.Time, n int64, first bool) bool {
	r.settle(now)
	if first {
		r.demand.add(now, n)
	}
	if r.tokens-r.promised < n {
		return false
	}
	r.tokens -= n
	return true
}

// Promise keeps the next n millionths for a request that waits for them; false when that would take longer than the
// patience, or when demand is beyond the rate. Each promise ends with Claim.
func (r *Rate) Promise(now time.Time, n int64, patience time.Duration) (time.Duration, bool) {
	r.settle(now)
	wait := r.Wait(now, n+r.promised)
	if wait > patience || n+r.promised > r.burst() || !r.Keeps(now) {
		return 0, false
	}
	r.promised += n
	return wait, true
}

// Claim takes what was promised; false when the share shrank meanwhile.
func (r *Rate) Claim(now time.Time, n int64) bool {
	r.settle(now)
	r.promised -= n
	if r.tokens < n {
		return false
	}
	r.tokens -= n
	return true
}

// Refund gives back what was taken and not used.
func (r *Rate) Refund(now time.Time, n int64) {
	r.settle(now)
	r.tokens += n
	r.trim()
}

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

// Extended moves the deadline of a borrowed loan, after its lender has agreed. A loan that has ended stays ended.
func (r *Rate) Extended(now time.Time, lender ident.Host, sequence int64, deadline time.Time) {
	r.settle(now)
	for i := range r.borrowed {
		l := &r.borrowed[i]
		if l.Peer == lender && l.Sequence == sequence {
			l.Deadline = later(l.Deadline, deadline)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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

// Borrow adds a loan from a peer; the deadline is on this host's clock. A loan that has ended adds nothing.
func (r *Rate) Borrow(now time.Time, l Loan) {
	r.settle(now)
	if !l.Deadline.After(now) || l.Amount.Tokens > l.Amount.Burst {
		return
	}
	r.borrowed = append(r.borrowed, l)
	r.tokens += l.Amount.Tokens
	r.trim()
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

// GiveBack ends borrowed loans and returns them with the tokens to hand back: all of them, or the steady ones that
// demand no longer needs, and the gathered ones unless this host still gathers.
func (r *Rate) GiveBack(now time.Time, all, gathers bool) []Loan {
	r.settle(now)
	var list []Loan
	want := r.demand.rate(now) * wantPercent / 100
	for i := 0; i < len(r.borrowed); {
		l := r.borrowed[i]
		surplus := !l.Gathered && l.Amount.Rate > 0 && r.rate()-l.Amount.Rate >= want
		if !all && !surplus && (!l.Gathered || gathers) {
			i++
			continue
		}
		l.Amount.Tokens = min(fraction(r.tokens, l.Amount.Burst, r.burst()), l.Amount.Burst)
		r.tokens -= l.Amount.Tokens
		r.borrowed = slices.Delete(r.borrowed, i, i+1)
		r.trim()
		list = append(list, l)
	}
	return list
}

// Expiring returns the gathered loans and the other steady loans that end before the times given, to be extended.
func (r *Rate) Expiring(gathered, steady, now time.Time) []Loan {
	r.settle(now)
	var list []Loan
	for _, l := range r.borrowed {
		before := steady
		if l.Gathered {
			before = gathered
		}
		if l.Amount.Rate > 0 && l.Deadline.Before(before) {
			list = append(list, l)
		}
	}
	return list
}

// Short tells whether forecast demand exceeds the share, and returns the ask that states both.
// Loans that end soon do not count.
func (r *Rate) Short(now time.Time) (Ask, bool) {
	r.settle(now)
	lasting := r.lendable(now.Add(renewBefore)).Rate
	demand := r.demand.rate(now)
	return Ask{Demand: demand, Held: lasting}, demand*shortPercent/100 > lasting
}

// State returns the ask that states this host's demand and what it holds now, for extending a loan.
func (r *Rate) State(now time.Time) Ask {
	r.settle(now)
	return Ask{Demand: r.demand.rate(now), Held: r.rate()}
}

// Spare returns the tokens at hand, as a hint for peers.
func (r *Rate) Spare(now time.Time) int64 {
	r.settle(now)
	return r.tokens
}

// SetEmpty notes that the fleet had nothing to lend, so that no peer is asked before the time.
func (r *Rate) SetEmpty(until time.Time) { r.emptyTill = until }

// Empty returns the time before which asking peers is pointless.
func (r *Rate) Empty() time.Time { return r.emptyTill }

// Wait returns how long this share alone needs to gather n millionths, at most a second.
func (r *Rate) Wait(now time.Time, n int64) time.Duration {
	r.settle(now)
	rate := r.rate()
	if rate <= 0 {
		return time.Second
	}
	missing := max(n-r.tokens, 0)
	return min(time.Duration(float64(missing)/float64(rate)*float64(time.Second)), time.Second)
}

// Keeps tells whether demand stays within the limit, so that a request that waits for tokens is likely to get them.
// Demand in other regions counts as far as it was heard of lately; where it was not, this share is weighed alone.
func (r *Rate) Keeps(now time.Time) bool {
	own := r.demand.rate(now)
	if own <= r.rate()*keepsPercent/100 {
		return true
	}
	all, heard := own, false
	for _, h := range r.heard {
		if now.Sub(h.at) < heardLife {
			all += h.demand
			heard = true
		}
	}
	return heard && all <= r.limit*keepsFleet/100
}

// Heard notes the demand at a host that gathers the shares of another region.
func (r *Rate) Heard(now time.Time, host ident.Host, demand int64) {
	if r.heard == nil {
		r.heard = map[ident.Host]heardDemand{}
	}
	r.heard[host] = heardDemand{demand: demand, at: now}
	for h, d := range r.heard {
		if now.Sub(d.at) > heardLife {
			delete(r.heard, h)
		}
	}
}

// SetLimit states the whole limit's rate.
func (r *Rate) SetLimit(rate int64) { r.limit = rate }

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

// Idle tells whether there was no demand for a while.
func (r *Rate) Idle(now time.Time) bool { return r.demand.rate(now) < idleDemand }

// Demand returns the estimated demand in millionths a second.
func (r *Rate) Demand(now time.Time) int64 { return r.demand.rate(now) }
