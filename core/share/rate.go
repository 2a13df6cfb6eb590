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
	beyondFleet  = 150 // share of the limit above which the demand of all regions counts as beyond it
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
	if wait > patience || n > r.burst() || !r.Keeps(now) {
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
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

// SetLimit states the whole limit's rate.
func (r *Rate) SetLimit(rate int64) { r.limit = rate }

// Idle tells whether there was no demand for a while.
func (r *Rate) Idle(now time.Time) bool { return r.demand.rate(now) < idleDemand }

// Demand returns the estimated demand in millionths a second.
func (r *Rate) Demand(now time.Time) int64 { return r.demand.rate(now) }
