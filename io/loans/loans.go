// Package loans gets what requests need from this host's shares, and from peers when the shares are short.
package loans

import (
	"context"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

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
	Book *share.Book
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
	known := l.seams.Book.Rate(q, func(r *share.Rate) {
		taken = r.Take(now, n, true)
		empty = now.Before(r.Empty())
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
	for _, host := range l.lenders(q) {
		if l.spot(ctx, q, host, n, shortWait) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	if l.last(ctx, q, n) {
		return nil
	}
	l.noteEmpty(q, n)
	return l.refusal(q, n)
}

// last waits once more where the region's shares are, after no peer had anything.
func (l *Loans) last(ctx context.Context, q ident.Quantity, n int64) bool {
	near := gatherer(q, l.seams.Near())
	if near == l.seams.Self {
		return l.await(ctx, q, n, longestWait)
	}
	return l.spot(ctx, q, near, n, longestWait)
}

// Exhausted returns after which time to come back when the fleet was just found to have nothing left, else zero.
func (l *Loans) Exhausted(q ident.Quantity) time.Duration {
	after := time.Duration(0)
	now := l.seams.Now()
	l.seams.Book.Rate(q, func(r *share.Rate) { after = max(r.Empty().Sub(now), 0) })
	return after
}

// await waits its turn for tokens of the own share, when they come within the patience.
func (l *Loans) await(ctx context.Context, q ident.Quantity, n int64, patience time.Duration) bool {
	if !l.waitTurn(ctx, q, n, patience) {
		return false
	}
	claimed := false
	l.seams.Book.Rate(q, func(r *share.Rate) { claimed = r.Claim(l.seams.Now(), n) })
	return claimed
}

// waitTurn waits until promised tokens have come; false when they would not come within the patience.
func (l *Loans) waitTurn(ctx context.Context, q ident.Quantity, n int64, patience time.Duration) bool {
	var wait time.Duration
	promised := false
	l.seams.Book.Rate(q, func(r *share.Rate) { wait, promised = r.Promise(l.seams.Now(), n, patience) })
	if !promised {
		return false
	}
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return true
}

// lendLater lends tokens to a peer's request once its turn has come.
func (l *Loans) lendLater(ctx context.Context, q ident.Quantity, peer ident.Host, a *wire.LoanAsk, grant *wire.LoanGrant) {
	patience := min(time.Duration(a.PatienceMs)*time.Millisecond, longestWait)
	if !l.waitTurn(ctx, q, int64(a.Tokens), patience) {
		return
	}
	now := l.seams.Now()
	deadline, serving := l.deadline(now, a)
	l.seams.Book.Rate(q, func(r *share.Rate) {
		loan, ok := r.LendPromised(now, peer, int64(a.Tokens), deadline)
		if serving {
			fill(grant, loan, ok)
		}
	})
}

func (l *Loans) refusal(q ident.Quantity, n int64) error {
	after := time.Second
	now := l.seams.Now()
	l.seams.Book.Rate(q, func(r *share.Rate) { after = max(r.Wait(now, n), r.Empty().Sub(now)) })
	return &Refusal{Quantity: q, After: max(after, time.Millisecond)}
}

// noteEmpty spares the peers further asks until the fleet has had time to gather tokens.
func (l *Loans) noteEmpty(q ident.Quantity, n int64) {
	limit, ok := l.seams.Book.Limit(q)
	if !ok || limit.Rate <= 0 {
		return
	}
	gather := time.Duration(float64(n) / float64(limit.Rate) * float64(time.Second))
	until := l.seams.Now().Add(min(max(gather, emptyLeast), emptyMost))
	l.seams.Book.Rate(q, func(r *share.Rate) { r.SetEmpty(until) })
}

// spot takes what a request needs from one host: a loan of just that, given back spent at once.
func (l *Loans) spot(ctx context.Context, q ident.Quantity, host ident.Host, n int64, patience time.Duration) bool {
	grant, ok := l.call(ctx, host, wire.LoanAsk{
		Quantity: string(q), Burst: int(n), Tokens: int(n), TermMs: int(spotTerm / time.Millisecond),
		PatienceMs: int(patience / time.Millisecond),
	})
	if !ok || int64(grant.Tokens) < n {
		l.noteAnswer(q, host, false)
		return false
	}
	l.noteAnswer(q, host, grant.Spare > 0)
	l.giveBack(ctx, q, []share.Loan{{Peer: host, Sequence: int64(grant.Sequence)}})
	return true
}

// Refund gives back what was taken for work that was not sent.
func (l *Loans) Refund(q ident.Quantity, n int64) {
	l.seams.Book.Rate(q, func(r *share.Rate) { r.Refund(l.seams.Now(), n) })
}

// call sends an ask and returns the grant.
func (l *Loans) call(ctx context.Context, host ident.Host, ask wire.LoanAsk) (*wire.LoanGrant, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l.asks.Add(1)
	answer, err := l.seams.Call(ctx, host, wire.Frame{LoanAsk: &ask})
	if err != nil || answer.LoanGrant == nil || ctx.Err() != nil {
		return nil, false
	}
	l.hear(host, answer.LoanGrant)
	return answer.LoanGrant, true
}

// hear notes the demand that a host of another region states.
func (l *Loans) hear(host ident.Host, g *wire.LoanGrant) {
	if slices.Contains(l.seams.Near(), host) {
		return
	}
	l.seams.Book.Rate(ident.Quantity(g.Quantity), func(r *share.Rate) { r.Heard(l.seams.Now(), host, int64(g.Demand)) })
}

// borrow asks one host and adds the loan to the share; the deadline counts from the asking.
func (l *Loans) borrow(ctx context.Context, q ident.Quantity, host ident.Host, ask wire.LoanAsk, term time.Duration) share.Amount {
	ask.Quantity = string(q)
	ask.TermMs = int(term / time.Millisecond)
	deadline := l.seams.Now().Add(term)
	g, ok := l.call(ctx, host, ask)
	if !ok || g.Burst <= 0 {
		return share.Amount{}
	}
	loan := share.Loan{
		Peer: host, Sequence: int64(g.Sequence), Deadline: deadline, Gathered: ask.All,
		Amount: share.Amount{Rate: int64(g.Rate), Burst: int64(g.Burst), Tokens: int64(g.Tokens)},
	}
	now := l.seams.Now()
	if !l.seams.Book.Rate(q, func(r *share.Rate) { r.Borrow(now, loan) }) {
		l.seams.Book.Count(q, func(c *share.Count) { c.Borrow(now, loan) })
	}
	return loan.Amount
}

// noteAnswer remembers that a peer had nothing left, for a short while.
func (l *Loans) noteAnswer(q ident.Quantity, host ident.Host, more bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if more {
		delete(l.empty[q], host)
		return
	}
	if l.empty[q] == nil {
		l.empty[q] = map[ident.Host]time.Time{}
	}
	l.empty[q][host] = l.seams.Now()
}

// gatherer returns the one of the hosts that gathers the shares of a quantity, by rendezvous hashing.
func gatherer(q ident.Quantity, hosts []ident.Host) ident.Host {
	var best ident.Host
	var most uint64
	for _, h := range hosts {
		if rank := xxhash.Sum64String(string(q) + "\x00" + string(h)); best == "" || rank > most {
			best, most = h, rank
		}
	}
	return best
}

// gathers tells whether this host gathers its region's shares of the quantity.
func (l *Loans) gathers(q ident.Quantity) bool {
	return gatherer(q, l.seams.Near()) == l.seams.Self
}

// lenders returns the hosts to ask: the own region's gatherer, or the region's holders when this host gathers, then
// the gatherers of other regions. Hosts that just had nothing come last.
func (l *Loans) lenders(q ident.Quantity) []ident.Host {
	var hosts []ident.Host
	if near := gatherer(q, l.seams.Near()); near != l.seams.Self {
		hosts = append(hosts, near)
	} else {
		hosts = l.nearHolders(q)
	}
	for _, region := range l.seams.Far() {
		hosts = append(hosts, gatherer(q, region))
	}
	now := l.seams.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(hosts, func(i, j int) bool {
		return now.Sub(l.empty[q][hosts[i]]) > hintLife && now.Sub(l.empty[q][hosts[j]]) <= hintLife
	})
	return hosts[:min(len(hosts), maxAsks)]
}

// nearHolders returns the live hosts of this region that hold partitions of the quantity, this host not included.
func (l *Loans) nearHolders(q ident.Quantity) []ident.Host {
	near := l.seams.Near()
	return slices.DeleteFunc(l.seams.Book.Holders(q), func(h ident.Host) bool { return !slices.Contains(near, h) })
}

// Slot takes one slot of a number of slots for a request that ends by the time given.
func (l *Loans) Slot(ctx context.Context, q ident.Quantity, until time.Time) (share.Slot, error) {
	if slot, ok := l.takeSlot(q, until); ok {
		return slot, nil
	}
	if l.SlotsEmpty(q) {
		return share.Slot{}, &Refusal{Quantity: q, After: emptyMost}
	}
	for _, host := range l.seams.Book.Holders(q) {
		term := until.Sub(l.seams.Now()) + slotSlack
		l.borrow(ctx, q, host, wire.LoanAsk{Burst: int(share.Unit)}, term)
		if slot, ok := l.takeSlot(q, until); ok {
			return slot, nil
		}
	}
	empty := l.seams.Now().Add(slotPause)
	l.seams.Book.Count(q, func(c *share.Count) { c.SetEmpty(empty) })
	return share.Slot{}, &Refusal{Quantity: q, After: emptyMost}
}

// SlotsEmpty tells whether a peer was just asked for these slots and had none.
func (l *Loans) SlotsEmpty(q ident.Quantity) bool {
	empty := false
	now := l.seams.Now()
	l.seams.Book.Count(q, func(c *share.Count) { empty = now.Before(c.Empty()) })
	return empty
}

func (l *Loans) takeSlot(q ident.Quantity, until time.Time) (slot share.Slot, ok bool) {
	l.seams.Book.Count(q, func(c *share.Count) { slot, ok = c.Take(l.seams.Now(), until) })
	return slot, ok
}

// Spare returns how many whole units of a limit this host could spend without asking a peer.
func (l *Loans) Spare(q ident.Quantity) int {
	now := l.seams.Now()
	n := 0
	if !l.seams.Book.Rate(q, func(r *share.Rate) { n = int(r.Spare(now) / share.Unit) }) {
		l.seams.Book.Count(q, func(c *share.Count) { n = c.Spare(now) })
	}
	return n
}

// Limited tells whether there is such a limit.
func (l *Loans) Limited(q ident.Quantity) bool {
	return l.seams.Book.Rate(q, func(*share.Rate) {}) || l.seams.Book.Count(q, func(*share.Count) {})
}

// FreeSlot gives a slot back, and a borrowed one to its lender at once.
func (l *Loans) FreeSlot(q ident.Quantity, s share.Slot) {
	var loan share.Loan
	ended := false
	l.seams.Book.Count(q, func(c *share.Count) { loan, ended = c.Free(s) })
	if ended {
		l.giveBack(context.Background(), q, []share.Loan{loan})
	}
}

// Lend answers a peer's ask. The loan is subtracted before the answer leaves. An ask for tokens waits shortly for its
// turn when the share is empty.
func (l *Loans) Lend(ctx context.Context, peer ident.Host, a *wire.LoanAsk) *wire.Frame {
	q := ident.Quantity(a.Quantity)
	grant := &wire.LoanGrant{Quantity: a.Quantity}
	near := slices.Contains(l.seams.Near(), peer)
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
	return l.seams.Book.Rate(q, func(r *share.Rate) {
		if !serving {
			return
		}
		loan, ok := lend(r, now, peer, a, deadline, near)
		fill(grant, loan, ok)
		grant.Spare = int(r.Spare(now))
		grant.Demand = int(r.Demand(now))
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
	l.seams.Book.Count(q, func(c *share.Count) {
		loan, ok := c.Lend(now, peer, a.Burst/int(share.Unit), deadline)
		fill(grant, loan, ok)
		grant.Spare = c.Spare(now)
	})
}

func lend(r *share.Rate, now time.Time, peer ident.Host, a *wire.LoanAsk, deadline time.Time, near bool) (share.Loan, bool) {
	ask := share.Ask{Tokens: int64(a.Tokens), Demand: int64(a.Demand), Held: int64(a.Held), Least: int64(a.Burst)}
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
	if !l.seams.Book.Rate(q, func(r *share.Rate) { r.Returned(now, peer, int64(g.Sequence), int64(g.Tokens)) }) {
		l.seams.Book.Count(q, func(c *share.Count) { c.Returned(peer, int64(g.Sequence)) })
	}
}
