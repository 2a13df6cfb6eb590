// Package loans gets what requests need from this host's shares, and from peers when the shares are short.
package loans

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

const (
	gatherTerm     = 2400 * time.Millisecond // length of a loan to the host that gathers
	steadyTerm     = 1200 * time.Millisecond // length of a loan for forecast demand, shorter so that gathered shares can be lent on
	extendGathered = 1700 * time.Millisecond // remaining time at which a gathered loan is extended
	extendSteady   = 800 * time.Millisecond  // remaining time at which any other steady loan is extended
	gatherPeriod   = 600 * time.Millisecond  // time between asks for all that a holder has
	spotTerm       = 500 * time.Millisecond  // length of a loan of tokens for requests at hand
	slotSlack      = 100 * time.Millisecond  // time by which a loan of a slot outlasts the request
	askTimeout     = 400 * time.Millisecond
	shortWait      = 40 * time.Millisecond  // wait for own tokens that is better than asking far away
	longestWait    = 250 * time.Millisecond // longest wait for own tokens after no peer had any
	maxAsks        = 4                      // peers asked in turn for one request
	hintLife       = 60 * time.Millisecond  // time for which an empty peer is not asked first
	tickPeriod     = 200 * time.Millisecond
	slotPause      = 15 * time.Millisecond // time for which a server without free slots is not asked for again
	emptyLeast     = 5 * time.Millisecond
	emptyMost      = 250 * time.Millisecond
	driftShare     = 20 // a lender waits longer by one part in so many, and by the fixed margin
	driftMargin    = 20 * time.Millisecond
)

const (
	// leastFragment is the smallest bucket that a host borrows for itself; smaller ones refuse by chance.
	leastFragment = 32 * share.Unit
	// leastGathered is the smallest addition to the bucket of a host that gathers.
	leastGathered = share.Unit / 10
)

// ErrExhausted means that the fleet has nothing left of a limit for now.
var ErrExhausted = merry.Sentinel("limit exhausted")

// Seams are what loans need from the rest of the process.
type Seams struct {
	Self ident.Host
	Book *share.Registry
	// Call sends a frame to a host and returns its answer.
	Call func(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error)
	// Near returns the live hosts of this host's region, this host included; Far those of each other region.
	Near func() []ident.Host
	Far  func() [][]ident.Host
	// LeaseDeadline returns until when this host may serve, and so until when its loans may last.
	LeaseDeadline func(now time.Time) time.Time
	// Now is the monotonic clock.
	Now func() time.Time
}

// LongestLoan is the longest time that a loan of a rate counts against its lender.
const LongestLoan = gatherTerm + gatherTerm/driftShare + driftMargin

// Loans takes from shares, asks peers and answers their asks.
//
// Small shares refuse by chance, so each region gathers its shares of a rate at one live host, on loans of a few
// seconds that it extends. The other hosts of the region take what each request needs from there; a host with much
// demand borrows a part for itself. When the gathering host dies the loans end, and the next host gathers.
type Loans struct {
	seams Seams
	mu    sync.Mutex
	empty map[ident.Quantity]map[ident.Host]time.Time // when a peer last had nothing
	asks  atomic.Int64

	nextGather map[gatherKey]time.Time
}

// gatherKey is a quantity at the host that holds part of it.
type gatherKey struct {
	quantity ident.Quantity
	host     ident.Host
}

// New returns loans over the book.
func New(seams Seams) *Loans {
	return &Loans{seams: seams, empty: map[ident.Quantity]map[ident.Host]time.Time{}, nextGather: map[gatherKey]time.Time{}}
}

// Asks returns how many loans were asked for.
func (l *Loans) Asks() int64 { return l.asks.Load() }

// Refusal tells when to come back after a limit was exhausted.
type Refusal struct {
	Quantity ident.Quantity
	After    time.Duration
}

func (r *Refusal) Error() string { return "limit exhausted: " + string(r.Quantity) }

// Unwrap returns ErrExhausted.
func (r *Refusal) Unwrap() error { return ErrExhausted }

// Take spends n millionths of a limit. When the own share is short it waits shortly for tokens that are about to come,
// asks peers, and waits once more; it returns a Refusal when none of that helps, at once when demand is beyond the rate.
func (l *Loans) Take(ctx context.Context, q ident.Quantity, n int64) error {
	taken, empty := false, false
	now := l.seams.Now()
	known := l.seams.Book.WithRate(q, func(r *share.Rate) {
		taken = r.Take(now, n, true)
		empty = now.Before(r.BorrowAfter())
	})
	if taken {
		return nil
	}
	if !known || empty {
		return l.refusal(q, n)
	}
	if l.await(ctx, q, n, shortWait) {
		return nil
	}
	if l.search(ctx, q, n) {
		return nil
	}
	l.noteEmpty(q, n)
	return l.refusal(q, n)
}

// search asks the peers in turn and then waits once more, unless demand is known to be beyond the limit.
func (l *Loans) search(ctx context.Context, q ident.Quantity, n int64) bool {
	beyond := false
	l.seams.Book.WithRate(q, func(r *share.Rate) { beyond = r.OverLimit(l.seams.Now()) })
	if beyond && l.gathers(q) {
		return false
	}
	for _, host := range l.lenders(q) {
		taken, beyond := l.spot(ctx, q, host, n, shortWait, false)
		if taken || beyond || ctx.Err() != nil {
			return taken
		}
	}
	return l.last(ctx, q, n)
}

// last waits once more, after no peer had anything: where the region's shares are, then where those of other regions
// are, since a region with little demand holds a share whose next token may be far off.
func (l *Loans) last(ctx context.Context, q ident.Quantity, n int64) bool {
	hosts := []ident.Host{gatherer(q, l.seams.Near())}
	for _, region := range l.seams.Far() {
		hosts = append(hosts, gatherer(q, region))
	}
	for _, host := range hosts {
		if host == l.seams.Self {
			if l.await(ctx, q, n, longestWait) {
				return true
			}
			continue
		}
		taken, beyond := l.spot(ctx, q, host, n, longestWait, true)
		if taken || beyond || ctx.Err() != nil {
			return taken
		}
	}
	return false
}

// Exhausted returns after which time to come back when the fleet was just found to have nothing left, else zero.
func (l *Loans) Exhausted(q ident.Quantity) time.Duration {
	after := time.Duration(0)
	now := l.seams.Now()
	l.seams.Book.WithRate(q, func(r *share.Rate) { after = max(r.BorrowAfter().Sub(now), 0) })
	return after
}

// await waits its turn for tokens of the own share, when they come within the patience.
func (l *Loans) await(ctx context.Context, q ident.Quantity, n int64, patience time.Duration) bool {
	if !l.waitTurn(ctx, q, n, patience) {
		return false
	}
	claimed := false
	l.seams.Book.WithRate(q, func(r *share.Rate) { claimed = r.TakeReserved(l.seams.Now(), n) })
	return claimed
}

// waitTurn waits until promised tokens have come; false when they would not come within the patience.
func (l *Loans) waitTurn(ctx context.Context, q ident.Quantity, n int64, patience time.Duration) bool {
	var wait time.Duration
	promised := false
	l.seams.Book.WithRate(q, func(r *share.Rate) { wait, promised = r.Reserve(l.seams.Now(), n, patience) })
	if !promised {
		return false
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return true
}

func (l *Loans) refusal(q ident.Quantity, n int64) error {
	after := time.Second
	now := l.seams.Now()
	l.seams.Book.WithRate(q, func(r *share.Rate) { after = max(r.WaitTime(now, n), r.BorrowAfter().Sub(now)) })
	return &Refusal{Quantity: q, After: max(after, time.Millisecond)}
}

// noteEmpty spares the peers further asks, while demand is beyond the limit, until the fleet has had time to gather tokens.
func (l *Loans) noteEmpty(q ident.Quantity, n int64) {
	limit, ok := l.seams.Book.Limit(q)
	if !ok || limit.Rate <= 0 {
		return
	}
	gather := time.Duration(float64(n) / float64(limit.Rate) * float64(time.Second))
	until := l.seams.Now().Add(min(max(gather, emptyLeast), emptyMost))
	l.seams.Book.WithRate(q, func(r *share.Rate) {
		if !r.WithinLimit(l.seams.Now()) {
			r.SetBorrowAfter(until)
		}
	})
}

// Refund gives back what was taken for work that was not sent.
func (l *Loans) Refund(q ident.Quantity, n int64) {
	l.seams.Book.WithRate(q, func(r *share.Rate) { r.Refund(l.seams.Now(), n) })
}

// Spare returns how many whole units of a limit this host could spend without asking a peer.
func (l *Loans) Spare(q ident.Quantity) int {
	now := l.seams.Now()
	n := 0
	if !l.seams.Book.WithRate(q, func(r *share.Rate) { n = int(r.Available(now) / share.Unit) }) {
		l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { n = c.Available(now) })
	}
	return n
}

// Limited tells whether there is such a limit.
func (l *Loans) Limited(q ident.Quantity) bool {
	return l.seams.Book.WithRate(q, func(*share.Rate) {}) || l.seams.Book.WithConcurrency(q, func(*share.Concurrency) {})
}
