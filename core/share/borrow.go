package share

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

// heardDemand is the demand that a host elsewhere stated.
type heardDemand struct {
	demand int64
	at     time.Time
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

// Keeps tells whether demand stays within the limit, so that a request that waits for tokens is likely to get them.
// Demand in other regions counts as far as it was heard of lately; where it was not, this share is weighed alone.
func (r *Rate) Keeps(now time.Time) bool {
	if r.demand.rate(now) <= r.rate()*keepsPercent/100 {
		return true
	}
	all, heard := r.fleetDemand(now)
	return heard && all <= r.limit*keepsFleet/100
}

// Beyond tells whether the demand of all regions is known to exceed the limit, so that no other region can help.
func (r *Rate) Beyond(now time.Time) bool {
	all, heard := r.fleetDemand(now)
	return heard && all > r.limit*beyondFleet/100
}

// fleetDemand returns the demand here and in the regions heard of lately, and whether there are any.
func (r *Rate) fleetDemand(now time.Time) (int64, bool) {
	all, heard := r.demand.rate(now), false
	for _, h := range r.heard {
		if now.Sub(h.at) < heardLife {
			all += h.demand
			heard = true
		}
	}
	return all, heard
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
