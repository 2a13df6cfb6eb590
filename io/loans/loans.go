// Package loans enforces fleet-wide limits on requests, bytes and slots. Each host spends from its own shares of the
// limits and borrows from peers when a share is too small.
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
	pooledLoanTerm        = 2400 * time.Millisecond // term of a loan to the host that pools the region's shares
	steadyLoanTerm        = 1200 * time.Millisecond // term of any other loan of rate; shorter, so that pooled shares can be lent on
	pooledExtensionWindow = 1700 * time.Millisecond // a pooled loan is extended when less than this remains of its term
	steadyExtensionWindow = 800 * time.Millisecond  // the same for any other loan of rate
	poolingPeriod         = 600 * time.Millisecond  // interval at which an owner is asked for its whole share
	tokenLoanTerm         = 500 * time.Millisecond  // term of a loan of tokens for a request that is waiting for them
	slotLoanMargin        = 100 * time.Millisecond  // time by which the loan of a slot outlasts the request's deadline
	askTimeout            = 400 * time.Millisecond
	maxFirstWait          = 40 * time.Millisecond  // longest wait for local tokens before peers are asked; better than asking another region
	maxFinalWait          = 250 * time.Millisecond // longest wait for tokens, here or at a lender, after no peer had any
	maxPeersAsked         = 4                      // peers asked in turn for one request
	emptyPeerTTL          = 60 * time.Millisecond  // time for which a peer that had nothing to lend is asked after the others
	tickPeriod            = 200 * time.Millisecond
	slotBorrowPause       = 15 * time.Millisecond // time without asks for a backend server's slots after no peer had one
	minBorrowPause        = 5 * time.Millisecond
	maxBorrowPause        = 250 * time.Millisecond
	driftDivisor          = 20 // on the lender's clock a loan lasts longer by its term divided by this, plus driftMargin
	driftMargin           = 20 * time.Millisecond
)

const (
	// minSteadyBurst is the smallest burst that a host borrows for its own demand. With a smaller bucket, random variation
	// of arrivals causes refusals.
	minSteadyBurst = 32 * share.Unit
	// minPooledBurst is the smallest burst that a pool host borrows in addition to the pooled shares.
	minPooledBurst = share.Unit / 10
)

// ErrExhausted means that no host has anything left of a limit at present.
var ErrExhausted = merry.Sentinel("limit exhausted")

// Deps are the dependencies of a Limiter.
type Deps struct {
	Self     ident.Host
	Registry *share.Registry
	// Call sends a frame to a host and returns the answer.
	Call func(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error)
	// RegionHosts returns the live hosts of this host's region, including this host. OtherRegions returns the live hosts
	// of each other region.
	RegionHosts  func() []ident.Host
	OtherRegions func() [][]ident.Host
	// LeaseDeadline returns the time until which this host may serve requests, which is also the latest deadline of the
	// rate loans that it makes.
	LeaseDeadline func(now time.Time) time.Time
	// Now returns the current time of a monotonic clock.
	Now func() time.Time
}

// MaxTerm is the longest term of a rate loan on its lender's clock.
const MaxTerm = pooledLoanTerm + pooledLoanTerm/driftDivisor + driftMargin

// Limiter spends from this host's shares, borrows from peers and lends to them. It is safe for concurrent use.
//
// In a small share, random variation of arrivals causes refusals. Each region therefore pools its shares of a rate at one
// live host, the pool host, with loans of a few seconds that the pool host keeps extending. The other hosts of the region
// borrow from it the tokens for each request, and a host with much demand borrows part of the rate. When the pool host
// fails, the loans to it end and another host becomes the pool host.
type Limiter struct {
	deps    Deps
	mu      sync.Mutex
	emptyAt map[ident.Quantity]map[ident.Host]time.Time // when a peer last had nothing to lend
	asks    atomic.Int64

	nextPooling map[ownerKey]time.Time
}

// ownerKey identifies one host's share of a quantity.
type ownerKey struct {
	quantity ident.Quantity
	host     ident.Host
}

// New returns a limiter with the given dependencies.
func New(deps Deps) *Limiter {
	return &Limiter{deps: deps, emptyAt: map[ident.Quantity]map[ident.Host]time.Time{}, nextPooling: map[ownerKey]time.Time{}}
}

// AsksSent returns the number of loan requests sent to peers since the process started.
func (l *Limiter) AsksSent() int64 { return l.asks.Load() }

// ExhaustedError reports that a limit is exhausted and after which time to retry.
type ExhaustedError struct {
	Quantity   ident.Quantity
	RetryAfter time.Duration
}

func (e *ExhaustedError) Error() string { return "limit exhausted: " + string(e.Quantity) }

// Unwrap returns ErrExhausted.
func (e *ExhaustedError) Unwrap() error { return ErrExhausted }

// Take spends n from a limit, in millionths of a unit, see share.Unit. If the local share has too few tokens, Take
// waits up to maxFirstWait for them, asks peers, and then waits up to maxFinalWait at each pool host. It skips the
// remaining steps once demand is known to exceed the limit. It returns an *ExhaustedError if it got no tokens, and at
// once if there is no such limit or peers recently had nothing to lend.
func (l *Limiter) Take(ctx context.Context, q ident.Quantity, n int64) error {
	taken, paused := false, false
	now := l.deps.Now()
	known := l.deps.Registry.WithRate(q, func(r *share.Rate) {
		taken = r.Take(now, n, true)
		paused = now.Before(r.BorrowAfter())
	})
	if taken {
		return nil
	}
	if !known || paused {
		return l.exhaustedError(q, n)
	}
	if l.takeAfterWait(ctx, q, n, maxFirstWait) {
		return nil
	}
	if l.takeFromPeers(ctx, q, n) {
		return nil
	}
	l.pauseBorrowing(q, n)
	return l.exhaustedError(q, n)
}

// takeFromPeers asks peers in turn and then waits at the pool hosts. It gives up early if demand is known to exceed the
// limit.
func (l *Limiter) takeFromPeers(ctx context.Context, q ident.Quantity, n int64) bool {
	overLimit := false
	l.deps.Registry.WithRate(q, func(r *share.Rate) { overLimit = r.OverLimit(l.deps.Now()) })
	if overLimit && l.isPoolHost(q) {
		return false
	}
	for _, host := range l.peersToAsk(q) {
		taken, overLimit := l.takeFromPeer(ctx, q, host, n, maxFirstWait, false)
		if taken || overLimit || ctx.Err() != nil {
			return taken
		}
	}
	return l.waitAtPoolHosts(ctx, q, n)
}

// waitAtPoolHosts waits for tokens after no peer had any: first at the pool host of this region, then at those of other
// regions, since a region with little demand holds a share that may take long to accrue the next token.
func (l *Limiter) waitAtPoolHosts(ctx context.Context, q ident.Quantity, n int64) bool {
	hosts := []ident.Host{poolHost(q, l.deps.RegionHosts())}
	for _, region := range l.deps.OtherRegions() {
		hosts = append(hosts, poolHost(q, region))
	}
	for _, host := range hosts {
		if host == l.deps.Self {
			if l.takeAfterWait(ctx, q, n, maxFinalWait) {
				return true
			}
			continue
		}
		taken, overLimit := l.takeFromPeer(ctx, q, host, n, maxFinalWait, true)
		if taken || overLimit || ctx.Err() != nil {
			return taken
		}
	}
	return false
}

// ExhaustedFor returns the time after which to retry if no host recently had anything left of the limit, and zero
// otherwise.
func (l *Limiter) ExhaustedFor(q ident.Quantity) time.Duration {
	remaining := time.Duration(0)
	now := l.deps.Now()
	l.deps.Registry.WithRate(q, func(r *share.Rate) { remaining = max(r.BorrowAfter().Sub(now), 0) })
	return remaining
}

// takeAfterWait reserves n millionths of a unit from the local share, waits for them and spends them. It returns false
// if the wait would exceed maxWait, or if the share has become too small meanwhile.
func (l *Limiter) takeAfterWait(ctx context.Context, q ident.Quantity, n int64, maxWait time.Duration) bool {
	if !l.waitForTokens(ctx, q, n, maxWait) {
		return false
	}
	taken := false
	l.deps.Registry.WithRate(q, func(r *share.Rate) { taken = r.TakeReserved(l.deps.Now(), n) })
	return taken
}

// waitForTokens reserves n millionths of a unit from the local share and waits until they have accrued or ctx is done.
// It returns false without a reservation if they would not accrue within maxWait. Otherwise the caller must end the
// reservation.
func (l *Limiter) waitForTokens(ctx context.Context, q ident.Quantity, n int64, maxWait time.Duration) bool {
	var wait time.Duration
	reserved := false
	l.deps.Registry.WithRate(q, func(r *share.Rate) { wait, reserved = r.Reserve(l.deps.Now(), n, maxWait) })
	if !reserved {
		return false
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return true
}

// exhaustedError returns an error that says when the local share will have n millionths of a unit and peers may be
// asked again.
func (l *Limiter) exhaustedError(q ident.Quantity, n int64) error {
	retryAfter := time.Second
	now := l.deps.Now()
	l.deps.Registry.WithRate(q, func(r *share.Rate) { retryAfter = max(r.WaitTime(now, n), r.BorrowAfter().Sub(now)) })
	return &ExhaustedError{Quantity: q, RetryAfter: max(retryAfter, time.Millisecond)}
}

// pauseBorrowing stops further asks to peers for about the time in which the whole limit accrues n millionths of a
// unit. It does nothing while demand is within the limit.
func (l *Limiter) pauseBorrowing(q ident.Quantity, n int64) {
	limit, ok := l.deps.Registry.Limit(q)
	if !ok || limit.Rate <= 0 {
		return
	}
	accrual := time.Duration(float64(n) / float64(limit.Rate) * float64(time.Second))
	until := l.deps.Now().Add(min(max(accrual, minBorrowPause), maxBorrowPause))
	l.deps.Registry.WithRate(q, func(r *share.Rate) {
		if !r.WithinLimit(l.deps.Now()) {
			r.SetBorrowAfter(until)
		}
	})
}

// Refund returns tokens that were taken for a request or bytes that were not sent.
func (l *Limiter) Refund(q ident.Quantity, n int64) {
	l.deps.Registry.WithRate(q, func(r *share.Rate) { r.Refund(l.deps.Now(), n) })
}

// Available returns the number of whole units of a limit that this host can spend without asking a peer.
func (l *Limiter) Available(q ident.Quantity) int {
	now := l.deps.Now()
	n := 0
	if !l.deps.Registry.WithRate(q, func(r *share.Rate) { n = int(r.Available(now) / share.Unit) }) {
		l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { n = c.Available(now) })
	}
	return n
}

// HasLimit reports whether there is a limit on the quantity.
func (l *Limiter) HasLimit(q ident.Quantity) bool {
	return l.deps.Registry.WithRate(q, func(*share.Rate) {}) || l.deps.Registry.WithConcurrency(q, func(*share.Concurrency) {})
}
