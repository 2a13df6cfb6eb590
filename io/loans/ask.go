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

// takeFromPeer takes n millionths of a unit from a peer: it borrows exactly that and returns the loan at once without
// the tokens, which the request has spent. If nothing was taken, overLimit reports whether the peer knows that demand
// exceeds the limit in all regions together.
func (l *Limiter) takeFromPeer(ctx context.Context, q ident.Quantity, host ident.Host, n int64, maxWait time.Duration, repeated bool) (taken, overLimit bool) {
	grant, ok := l.sendAsk(ctx, host, wire.LoanAsk{
		Quantity: string(q), Burst: int(n), Tokens: int(n), TermMs: int(tokenLoanTerm / time.Millisecond),
		PatienceMs: int(maxWait / time.Millisecond), Again: repeated,
	})
	if !ok || int64(grant.Tokens) < n {
		l.recordAnswer(q, host, false)
		return false, ok && grant.Beyond
	}
	l.recordAnswer(q, host, grant.Spare > 0)
	l.returnLoans(ctx, q, []share.Loan{{Peer: host, Sequence: int64(grant.Sequence)}})
	return true, false
}

// sendAsk sends an ask to a peer and returns the grant. It returns false if there is no grant within askTimeout.
func (l *Limiter) sendAsk(ctx context.Context, host ident.Host, ask wire.LoanAsk) (*wire.LoanGrant, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l.asks.Add(1)
	answer, err := l.deps.Call(ctx, host, wire.Frame{LoanAsk: &ask})
	if err != nil || answer.LoanGrant == nil || ctx.Err() != nil {
		return nil, false
	}
	l.recordDemand(host, answer.LoanGrant)
	return answer.LoanGrant, true
}

// recordDemand records the demand that a host of another region reported in its grant.
func (l *Limiter) recordDemand(host ident.Host, g *wire.LoanGrant) {
	if slices.Contains(l.deps.RegionHosts(), host) {
		return
	}
	l.deps.Registry.WithRate(ident.Quantity(g.Quantity), func(r *share.Rate) { r.RecordPeerDemand(l.deps.Now(), host, int64(g.Demand)) })
}

// borrow asks a peer for a loan and adds it to the local share. The deadline counts from the time of the ask. It returns
// the amount borrowed, which may be zero.
func (l *Limiter) borrow(ctx context.Context, q ident.Quantity, host ident.Host, ask wire.LoanAsk, term time.Duration) share.Amount {
	ask.Quantity = string(q)
	ask.TermMs = int(term / time.Millisecond)
	deadline := l.deps.Now().Add(term)
	g, ok := l.sendAsk(ctx, host, ask)
	if !ok || g.Burst <= 0 {
		return share.Amount{}
	}
	loan := share.Loan{
		Peer: host, Sequence: int64(g.Sequence), Deadline: deadline, Pooled: ask.All,
		Amount: share.Amount{Rate: int64(g.Rate), Burst: int64(g.Burst), Tokens: int64(g.Tokens)},
	}
	now := l.deps.Now()
	if !l.deps.Registry.WithRate(q, func(r *share.Rate) { r.Borrow(now, loan) }) {
		l.deps.Registry.WithConcurrency(q, func(c *share.Concurrency) { c.Borrow(now, loan) })
	}
	return loan.Amount
}

// recordAnswer records whether a peer has anything left to lend. peersToAsk uses this for emptyPeerTTL.
func (l *Limiter) recordAnswer(q ident.Quantity, host ident.Host, hasSpare bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if hasSpare {
		delete(l.emptyAt[q], host)
		return
	}
	if l.emptyAt[q] == nil {
		l.emptyAt[q] = map[ident.Host]time.Time{}
	}
	l.emptyAt[q][host] = l.deps.Now()
}

// poolHost returns which of a region's hosts pools the region's shares of a quantity.
func poolHost(q ident.Quantity, hosts []ident.Host) ident.Host { return elect.Pick(string(q), hosts) }

// isPoolHost reports whether this host pools its region's shares of the quantity.
func (l *Limiter) isPoolHost(q ident.Quantity) bool {
	return poolHost(q, l.deps.RegionHosts()) == l.deps.Self
}

// peersToAsk returns the peers to ask for a loan: the pool host of this region, or the region's owners if this host is the
// pool host, and then the pool hosts of other regions. Peers that recently had nothing to lend are listed last.
func (l *Limiter) peersToAsk(q ident.Quantity) []ident.Host {
	var hosts []ident.Host
	if regionPool := poolHost(q, l.deps.RegionHosts()); regionPool != l.deps.Self {
		hosts = append(hosts, regionPool)
	} else {
		hosts = l.regionOwners(q)
	}
	for _, region := range l.deps.OtherRegions() {
		hosts = append(hosts, poolHost(q, region))
	}
	now := l.deps.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	sort.SliceStable(hosts, func(i, j int) bool {
		return now.Sub(l.emptyAt[q][hosts[i]]) > emptyPeerTTL && now.Sub(l.emptyAt[q][hosts[j]]) <= emptyPeerTTL
	})
	return hosts[:min(len(hosts), maxPeersAsked)]
}

// regionOwners returns the other live hosts of this region that own partitions of the quantity.
func (l *Limiter) regionOwners(q ident.Quantity) []ident.Host {
	regionHosts := l.deps.RegionHosts()
	return slices.DeleteFunc(l.deps.Registry.Owners(q), func(h ident.Host) bool { return !slices.Contains(regionHosts, h) })
}
