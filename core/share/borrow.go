package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

// peerDemand is the demand that a host in another region reported, in millionths per second.
type peerDemand struct {
	demand     int64
	receivedAt time.Time
}

// ExtendBorrowed moves the deadline of a borrowed loan after its lender has agreed. It does nothing if the loan has
// already ended.
func (r *Rate) ExtendBorrowed(now time.Time, lender ident.Host, sequence int64, deadline time.Time) {
	r.advance(now)
	for i := range r.borrowed {
		l := &r.borrowed[i]
		if l.Peer == lender && l.Sequence == sequence {
			l.Deadline = later(l.Deadline, deadline)
		}
	}
}

// Borrow adds a loan from a peer, with its deadline on this host's clock. A loan that has already ended, or that has more
// tokens than burst, is ignored.
func (r *Rate) Borrow(now time.Time, l Loan) {
	r.advance(now)
	if !l.Deadline.After(now) || l.Amount.Tokens > l.Amount.Burst {
		return
	}
	r.borrowed = append(r.borrowed, l)
	r.tokens += l.Amount.Tokens
	r.capTokens()
}

// ReturnBorrowed ends borrowed loans and returns them with the tokens to give back. It ends all loans if all is set.
// Otherwise it ends the loans of rate that demand no longer needs, and the pooled loans unless this host still pools the
// region's shares.
func (r *Rate) ReturnBorrowed(now time.Time, all, pools bool) []Loan {
	r.advance(now)
	var list []Loan
	target := r.demand.rate(now) * returnPercent / 100
	for i := 0; i < len(r.borrowed); {
		l := r.borrowed[i]
		surplus := !l.Pooled && l.Amount.Rate > 0 && r.rate()-l.Amount.Rate >= target
		if !all && !surplus && (!l.Pooled || pools) {
			i++
			continue
		}
		l.Amount.Tokens = min(fraction(r.tokens, l.Amount.Burst, r.burst()), l.Amount.Burst)
		r.tokens -= l.Amount.Tokens
		r.borrowed = slices.Delete(r.borrowed, i, i+1)
		r.capTokens()
		list = append(list, l)
	}
	return list
}

// Expiring returns the borrowed loans of rate to be extended: pooled loans that end before pooledBefore, and others that
// end before steadyBefore.
func (r *Rate) Expiring(pooledBefore, steadyBefore, now time.Time) []Loan {
	r.advance(now)
	var list []Loan
	for _, l := range r.borrowed {
		cutoff := steadyBefore
		if l.Pooled {
			cutoff = pooledBefore
		}
		if l.Amount.Rate > 0 && l.Deadline.Before(cutoff) {
			list = append(list, l)
		}
	}
	return list
}

// Shortage reports whether demand, with a margin for growth, exceeds the share, and returns an ask with both values.
// Borrowed loans that end within minLoanRemaining are not counted.
func (r *Rate) Shortage(now time.Time) (Ask, bool) {
	r.advance(now)
	lastingRate := r.lendable(now.Add(minLoanRemaining)).Rate
	demand := r.demand.rate(now)
	return Ask{Demand: demand, HeldRate: lastingRate}, demand*borrowPercent/100 > lastingRate
}

// ExtensionAsk returns an ask with this host's current demand and rate, for extending a loan.
func (r *Rate) ExtensionAsk(now time.Time) Ask {
	r.advance(now)
	return Ask{Demand: r.demand.rate(now), HeldRate: r.rate()}
}

// WithinLimit reports whether demand stays within the limit, so that a request that waits for tokens is likely to get
// them. It is true if local demand fits this host's share, or if the demand of all regions fits the limit. The latter
// needs a recent report from another region.
func (r *Rate) WithinLimit(now time.Time) bool {
	if r.demand.rate(now) <= r.rate()*withinSharePercent/100 {
		return true
	}
	total, known := r.fleetDemand(now)
	return known && total <= r.limitRate*withinLimitPercent/100
}

// OverLimit reports whether the demand of all regions is known to exceed the limit, so that no other region can lend.
func (r *Rate) OverLimit(now time.Time) bool {
	total, known := r.fleetDemand(now)
	return known && total > r.limitRate*overLimitPercent/100
}

// fleetDemand returns the sum of the local demand and the demand that other regions have reported within peerDemandTTL,
// and whether there was such a report.
func (r *Rate) fleetDemand(now time.Time) (int64, bool) {
	total, known := r.demand.rate(now), false
	for _, h := range r.peerDemands {
		if now.Sub(h.receivedAt) < peerDemandTTL {
			total += h.demand
			known = true
		}
	}
	return total, known
}

// RecordPeerDemand records the demand, in millionths per second, that the host which pools the shares of another region
// has reported.
func (r *Rate) RecordPeerDemand(now time.Time, host ident.Host, demand int64) {
	if r.peerDemands == nil {
		r.peerDemands = map[ident.Host]peerDemand{}
	}
	r.peerDemands[host] = peerDemand{demand: demand, receivedAt: now}
	for h, d := range r.peerDemands {
		if now.Sub(d.receivedAt) > peerDemandTTL {
			delete(r.peerDemands, h)
		}
	}
}
