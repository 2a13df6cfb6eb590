// Package loans gets what requests need from this host's shares, and from peers when the shares are short.
package loans

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

const (
	steadyTerm  = 2 * time.Second        // length of a loan for forecast demand
	spotTerm    = 300 * time.Millisecond // length of a loan of tokens for requests at hand
	slotTerm    = 10 * time.Second       // length of a loan of slots
	askTimeout  = 200 * time.Millisecond
	maxAsks     = 4 // peers asked in turn for one request
	tickPeriod  = 200 * time.Millisecond
	emptyLeast  = 5 * time.Millisecond
	emptyMost   = 250 * time.Millisecond
	driftShare  = 20 // a lender waits longer by one part in so many, and by the fixed margin
	driftMargin = 20 * time.Millisecond
)

// ErrExhausted means that the fleet has nothing left of a limit for now.
var ErrExhausted = merry.Sentinel("limit exhausted")

// Seams are what loans need from the rest of the process.
type Seams struct {
	Self ident.Host
	Book *share.Book
	// Call sends a frame to a host and returns its answer.
	Call func(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error)
	// LeaseDeadline returns until when this host may serve, and so until when its loans may last.
	LeaseDeadline func(now time.Time) time.Time
	// Now is the monotonic clock.
	Now func() time.Time
}

// Loans takes from shares, asks peers and answers their asks.
type Loans struct {
	seams Seams
	mu    sync.Mutex
	hints map[ident.Quantity]map[ident.Host]int64 // tokens that a peer last said it had
	asks  int64
}

// New returns loans over the book.
func New(seams Seams) *Loans {
	return &Loans{seams: seams, hints: map[ident.Quantity]map[ident.Host]int64{}}
}

// Asks returns how many loans were asked for.
func (l *Loans) Asks() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asks
}

// Refusal tells when to come back after a limit was exhausted.
type Refusal struct {
	Quantity ident.Quantity
	After    time.Duration
}

func (r *Refusal) Error() string { return "limit exhausted: " + string(r.Quantity) }

// Unwrap returns ErrExhausted.
func (r *Refusal) Unwrap() error { return ErrExhausted }

// Take spends n millionths of a limit, asking peers when the own share is short.
// It returns a Refusal at once when the fleet has nothing.
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
	for _, host := range l.lenders(q) {
		if l.spot(ctx, q, host, n) {
			return nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	l.noteEmpty(q, n)
	return l.refusal(q, n)
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

// spot borrows tokens for a request at hand from one host and spends them.
func (l *Loans) spot(ctx context.Context, q ident.Quantity, host ident.Host, n int64) bool {
	now := l.seams.Now()
	tokens := n
	l.seams.Book.Rate(q, func(r *share.Rate) { tokens = r.Spot(now, n) })
	l.ask(ctx, q, host, share.Amount{Burst: tokens, Tokens: tokens}, spotTerm)
	taken := false
	l.seams.Book.Rate(q, func(r *share.Rate) { taken = r.Take(l.seams.Now(), n, false) })
	return taken
}

// Refund gives back what was taken for work that was not sent.
func (l *Loans) Refund(q ident.Quantity, n int64) {
	l.seams.Book.Rate(q, func(r *share.Rate) { r.Refund(l.seams.Now(), n) })
}

// ask borrows from one host and adds the loan to the share; it returns the rate that was lent.
func (l *Loans) ask(ctx context.Context, q ident.Quantity, host ident.Host, a share.Amount, term time.Duration) share.Amount {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l.mu.Lock()
	l.asks++
	l.mu.Unlock()
	deadline := l.seams.Now().Add(term)
	ask := &wire.LoanAsk{
		Quantity: string(q), Rate: int(a.Rate), Burst: int(a.Burst), Tokens: int(a.Tokens), TermMs: int(term / time.Millisecond),
	}
	answer, err := l.seams.Call(ctx, host, wire.Frame{LoanAsk: ask})
	if err != nil || answer.LoanGrant == nil {
		l.hint(q, host, 0)
		return share.Amount{}
	}
	g := answer.LoanGrant
	l.hint(q, host, int64(g.Spare))
	if g.Burst <= 0 {
		return share.Amount{}
	}
	loan := share.Loan{
		Peer: host, Sequence: int64(g.Sequence), Deadline: deadline,
		Amount: share.Amount{Rate: int64(g.Rate), Burst: int64(g.Burst), Tokens: int64(g.Tokens)},
	}
	now := l.seams.Now()
	if !l.seams.Book.Rate(q, func(r *share.Rate) { r.Borrow(now, loan) }) {
		l.seams.Book.Count(q, func(c *share.Count) { c.Borrow(now, loan) })
	}
	return loan.Amount
}

func (l *Loans) hint(q ident.Quantity, host ident.Host, tokens int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hints[q] == nil {
		l.hints[q] = map[ident.Host]int64{}
	}
	l.hints[q][host] = tokens
}

// lenders returns the hosts to ask, those with the most tokens at last hearing first; unheard ones come before empty ones.
func (l *Loans) lenders(q ident.Quantity) []ident.Host {
	hosts := l.seams.Book.Holders(q)
	l.mu.Lock()
	hints := make(map[ident.Host]int64, len(hosts))
	for _, h := range hosts {
		tokens, heard := l.hints[q][h]
		if !heard {
			tokens = share.Unit
		}
		hints[h] = tokens
	}
	l.mu.Unlock()
	sort.SliceStable(hosts, func(i, j int) bool { return hints[hosts[i]] > hints[hosts[j]] })
	return hosts[:min(len(hosts), maxAsks)]
}

// Slot takes one slot of a number of slots for a request that ends by the time given.
func (l *Loans) Slot(ctx context.Context, q ident.Quantity, until time.Time) (share.Slot, error) {
	if slot, ok := l.takeSlot(q, until); ok {
		return slot, nil
	}
	for _, host := range l.seams.Book.Holders(q) {
		term := max(slotTerm, until.Sub(l.seams.Now())+time.Second)
		l.ask(ctx, q, host, share.Amount{Burst: share.Unit}, term)
		if slot, ok := l.takeSlot(q, until); ok {
			return slot, nil
		}
	}
	return share.Slot{}, &Refusal{Quantity: q, After: emptyMost}
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

// FreeSlot gives a slot back.
func (l *Loans) FreeSlot(q ident.Quantity, s share.Slot) {
	l.seams.Book.Count(q, func(c *share.Count) { c.Free(s) })
}

// Lend answers a peer's ask. The loan is subtracted before the answer leaves.
func (l *Loans) Lend(peer ident.Host, a *wire.LoanAsk) *wire.Frame {
	q := ident.Quantity(a.Quantity)
	now := l.seams.Now()
	term := time.Duration(a.TermMs) * time.Millisecond
	deadline := now.Add(term + term/driftShare + driftMargin)
	grant := &wire.LoanGrant{Quantity: a.Quantity}
	// A lender that loses its seat must have no rate on loan by then. Slots may stay on loan longer,
	// since their next holder waits for the longest request before it hands them out.
	last := l.seams.LeaseDeadline(now)
	if !now.Before(last) || (a.Rate+a.Tokens > 0 && deadline.After(last)) {
		return &wire.Frame{LoanGrant: grant}
	}
	ask := share.Amount{Rate: int64(a.Rate), Burst: int64(a.Burst), Tokens: int64(a.Tokens)}
	if !l.seams.Book.Rate(q, func(r *share.Rate) {
		loan, ok := r.Lend(now, peer, ask, deadline)
		fill(grant, loan, ok)
		grant.Spare = int(r.Spare(now))
	}) {
		l.seams.Book.Count(q, func(c *share.Count) {
			loan, ok := c.Lend(now, peer, int(ask.Burst/share.Unit), deadline)
			fill(grant, loan, ok)
			grant.Spare = c.Spare(now)
		})
	}
	return &wire.Frame{LoanGrant: grant}
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
