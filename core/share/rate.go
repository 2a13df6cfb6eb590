package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

const (
	returnPercent      = 160                     // percentage of its demand that a borrower's rate must still cover for a loan to be returned
	minTransferDivisor = 20                      // rate is lent only if it is at least the lender's rate divided by this
	recallDivisor      = 8                       // a loan is not extended if the lender is short by more than the sum of both rates divided by this
	withinSharePercent = 130                     // percentage of a share's rate up to which demand counts as within it
	withinLimitPercent = 115                     // percentage of the limit up to which the demand of all regions counts as within it
	overLimitPercent   = 150                     // percentage of the limit above which the demand of all regions counts as over it
	peerDemandTTL      = 1500 * time.Millisecond // age up to which reported demand is used
	borrowPercent      = 125                     // percentage of its demand that a host's rate must cover; with less it asks for a loan
	minLoanRemaining   = 400 * time.Millisecond  // loans that end sooner do not count when a host looks for a shortage
	// idleDemand is the demand, in millionths per second, below which a host neither borrows nor extends loans.
	idleDemand = Unit / 10_000
	// lenderReserve is the burst, in millionths, that a lender does not lend, so that it can still admit its own requests.
	lenderReserve = 2 * Unit
)

// Rate is one host's share of a rate and burst: a token bucket whose size changes with loans.
type Rate struct {
	base        Amount
	tokens      int64
	remainder   uint64
	updatedAt   time.Time
	lent        []Loan
	borrowed    []Loan
	demand      meter
	sequence    int64
	borrowAfter time.Time
	reserved    int64 // tokens reserved for waiting requests
	limitRate   int64 // rate of the whole limit, in millionths per second
	peerDemands map[ident.Host]peerDemand
}

// NewRate returns a share without rate, burst and tokens.
func NewRate(now time.Time) *Rate { return &Rate{updatedAt: now, demand: meter{updatedAt: now}} }

// SetBase sets the rate and burst that this host holds of the limit, before loans. It adds no tokens unless full is set,
// which is for a limit that no other host can have spent from.
func (r *Rate) SetBase(now time.Time, rate, burst int64, full bool) {
	r.advance(now)
	r.base.Rate = rate
	r.base.Burst = burst
	if full {
		r.tokens = r.burst()
	}
	r.capTokens()
}

// effective returns the refill rate and bucket size after all loans.
func (r *Rate) effective() Amount {
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

func (r *Rate) rate() int64 { return r.effective().Rate }

func (r *Rate) burst() int64 { return r.effective().Burst }

func (r *Rate) capTokens() { r.tokens = min(r.tokens, r.burst()) }

// advance adds the tokens accrued up to now and ends the loans whose deadline has passed, in the order of their deadlines.
func (r *Rate) advance(now time.Time) {
	for {
		next, ok := r.nextDeadline(now)
		if !ok {
			break
		}
		r.accrue(next)
		ended := func(l Loan) bool { return !l.Deadline.After(next) }
		r.borrowed = slices.DeleteFunc(r.borrowed, ended)
		r.lent = slices.DeleteFunc(r.lent, ended)
		r.capTokens()
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
	d := to.Sub(r.updatedAt)
	if d <= 0 {
		return
	}
	var gained int64
	gained, r.remainder = accrued(r.rate(), d, r.remainder)
	r.updatedAt = to
	r.tokens += gained
	r.capTokens()
}

// Take spends n millionths. It spends nothing and returns false if fewer are available. Only a request's first attempt
// counts as demand.
func (r *Rate) Take(now time.Time, n int64, firstAttempt bool) bool {
	r.advance(now)
	if firstAttempt {
		r.demand.add(now, n)
	}
	if r.tokens-r.reserved < n {
		return false
	}
	r.tokens -= n
	return true
}

// Reserve reserves the next n millionths for a request and returns how long it must wait for them. It returns false if
// that is longer than maxWait or n exceeds the burst, or if demand is not within the limit. Each reservation must be
// ended with TakeReserved or LendReserved.
func (r *Rate) Reserve(now time.Time, n int64, maxWait time.Duration) (time.Duration, bool) {
	r.advance(now)
	wait := r.WaitTime(now, n+r.reserved)
	if wait > maxWait || n > r.burst() || !r.WithinLimit(now) {
		return 0, false
	}
	r.reserved += n
	return wait, true
}

// TakeReserved ends a reservation and spends its n millionths. It spends nothing and returns false if the share has become
// too small since they were reserved.
func (r *Rate) TakeReserved(now time.Time, n int64) bool {
	r.advance(now)
	r.reserved -= n
	if r.tokens < n {
		return false
	}
	r.tokens -= n
	return true
}

// Refund returns tokens that were taken and not used.
func (r *Rate) Refund(now time.Time, n int64) {
	r.advance(now)
	r.tokens += n
	r.capTokens()
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Available returns the tokens in the bucket, as a hint for peers.
func (r *Rate) Available(now time.Time) int64 {
	r.advance(now)
	return r.tokens
}

// SetBorrowAfter records that no peer had anything to lend, so that none is asked before t.
func (r *Rate) SetBorrowAfter(t time.Time) { r.borrowAfter = t }

// BorrowAfter returns the time before which peers are not asked because they had nothing to lend.
func (r *Rate) BorrowAfter() time.Time { return r.borrowAfter }

// WaitTime returns how long this share needs, without further loans, to accrue n millionths. It is at most one second.
func (r *Rate) WaitTime(now time.Time, n int64) time.Duration {
	r.advance(now)
	rate := r.rate()
	if rate <= 0 {
		return time.Second
	}
	missing := max(n-r.tokens, 0)
	return min(time.Duration(float64(missing)/float64(rate)*float64(time.Second)), time.Second)
}

// SetLimit sets the rate of the whole limit, in millionths per second.
func (r *Rate) SetLimit(rate int64) { r.limitRate = rate }

// Idle reports whether demand has dropped below idleDemand.
func (r *Rate) Idle(now time.Time) bool { return r.demand.rate(now) < idleDemand }

// Demand returns the estimated demand in millionths per second.
func (r *Rate) Demand(now time.Time) int64 { return r.demand.rate(now) }
