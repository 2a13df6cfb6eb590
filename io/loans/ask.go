package loans

import (
	"context"
	"slices"
	"sort"
	"time"

	"jayshift/core/elect"
	"jayshift/core/ident"
	"jayshift/core/share"
	"jayshift/core/wire"
)

// spot takes what a request needs from one host: a loan of just that, given back spent at once.
// When nothing was taken, beyond tells that demand is known to exceed the limit everywhere.
func (l *Loans) spot(ctx context.Context, q ident.Quantity, host ident.Host, n int64, patience time.Duration, again bool) (taken, beyond bool) {
	grant, ok := l.call(ctx, host, wire.LoanAsk{
		Quantity: string(q), Burst: int(n), Tokens: int(n), TermMs: int(spotTerm / time.Millisecond),
		PatienceMs: int(patience / time.Millisecond), Again: again,
	})
	if !ok || int64(grant.Tokens) < n {
		l.noteAnswer(q, host, false)
		return false, ok && grant.Beyond
	}
	l.noteAnswer(q, host, grant.Spare > 0)
	l.giveBack(ctx, q, []share.Loan{{Peer: host, Sequence: int64(grant.Sequence)}})
	return true, false
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
	l.seams.Book.WithRate(ident.Quantity(g.Quantity), func(r *share.Rate) { r.RecordPeerDemand(l.seams.Now(), host, int64(g.Demand)) })
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
		Peer: host, Sequence: int64(g.Sequence), Deadline: deadline, Pooled: ask.All,
		Amount: share.Amount{Rate: int64(g.Rate), Burst: int64(g.Burst), Tokens: int64(g.Tokens)},
	}
	now := l.seams.Now()
	if !l.seams.Book.WithRate(q, func(r *share.Rate) { r.Borrow(now, loan) }) {
		l.seams.Book.WithConcurrency(q, func(c *share.Concurrency) { c.Borrow(now, loan) })
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

// gatherer returns the one of the hosts that gathers the shares of a quantity.
func gatherer(q ident.Quantity, hosts []ident.Host) ident.Host { return elect.Pick(string(q), hosts) }

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
