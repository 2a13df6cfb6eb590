// Package rates limits the requests of each team to the team's rate. If a team's burst is too small to be divided among all
// hosts, one host of each region counts the team's requests for the region and the other hosts ask it. A host that gets no
// answer counts on its own.
package rates

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/elect"
	"jayshift/core/ident"
	"jayshift/core/quota"
	"jayshift/core/wire"
)

// askTimeout is longer than a round trip to a host of the same region, and short compared with the time that a request may
// take.
const askTimeout = 120 * time.Millisecond

var errUnexpectedAnswer = merry.Sentinel("rates: answer is not a quota grant")

// Deps are the dependencies of a Limiter.
type Deps struct {
	Self  ident.Host
	Quota *quota.Limiter
	// Counters returns the hosts of this host's region that count requests for the region. They may include this host.
	Counters func() []ident.Host
	// Call sends a frame to a host and returns the answer. Cast sends a frame without an answer.
	Call func(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error)
	Cast func(host ident.Host, f wire.Frame) error
	Now  func() time.Time
	Log  *slog.Logger
}

// Limiter counts requests at this host or at the counting host of their team.
type Limiter struct{ deps Deps }

// New returns a limiter with the given dependencies.
func New(deps Deps) *Limiter { return &Limiter{deps: deps} }

// Charge identifies the host that counted a request, and the request's team.
type Charge struct {
	Host   ident.Host
	Failed ident.Host // the counting host that gave no answer, so that Host counted instead; empty if there is none
	team   ident.Team
}

// Take counts a request of the team. If the rate is used up, it returns false and the time after which to retry.
func (l *Limiter) Take(ctx context.Context, team ident.Team) (charge Charge, ok bool, retryAfter time.Duration) {
	host := l.deps.Self
	if l.deps.Quota.HasSmallBurst(team) {
		host = l.countingHost(team)
	}
	if host != l.deps.Self {
		g, err := l.takeAt(ctx, host, team)
		if err == nil {
			return Charge{Host: host, team: team}, g.Taken, time.Duration(g.AfterMs) * time.Millisecond
		}
		charge.Failed = host
	}
	charge.Host, charge.team = l.deps.Self, team
	ok, retryAfter = l.deps.Quota.Take(l.deps.Now(), team)
	return charge, ok, retryAfter
}

// takeAt asks another host to count a request of the team.
func (l *Limiter) takeAt(ctx context.Context, host ident.Host, team ident.Team) (*wire.QuotaGrant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := l.deps.Call(ctx, host, wire.Frame{QuotaAsk: &wire.QuotaAsk{Team: string(team)}})
	if err == nil && answer.QuotaGrant == nil {
		err = errUnexpectedAnswer
	}
	return answer.QuotaGrant, err
}

// Refund reverts the count of a request that was not sent to any backend server. If the host that counted the request
// cannot be reached, the request stays counted.
func (l *Limiter) Refund(charge Charge) {
	if charge.Host == l.deps.Self {
		l.deps.Quota.Refund(charge.team)
		return
	}
	if err := l.deps.Cast(charge.Host, wire.Frame{QuotaReturn: &wire.QuotaReturn{Team: string(charge.team)}}); err != nil {
		l.deps.Log.Debug("request count not refunded", "host", string(charge.Host), "team", string(charge.team), "error", err.Error())
	}
}

// Handle counts or refunds a request for a peer. It returns the answer to send, or nil if there is none.
func (l *Limiter) Handle(f wire.Frame) *wire.Frame {
	switch {
	case f.QuotaReturn != nil:
		l.deps.Quota.Refund(ident.Team(f.QuotaReturn.Team))
	case f.QuotaAsk != nil:
		ok, retryAfter := l.deps.Quota.Take(l.deps.Now(), ident.Team(f.QuotaAsk.Team))
		return &wire.Frame{QuotaGrant: &wire.QuotaGrant{Taken: ok, AfterMs: int(retryAfter / time.Millisecond)}}
	}
	return nil
}

// countingHost returns the host of this region that counts the team's requests, this host if there is none.
func (l *Limiter) countingHost(team ident.Team) ident.Host {
	return cmp.Or(CountingHost(team, l.deps.Counters()), l.deps.Self)
}

// CountingHost returns the one of the hosts that counts the team's requests, an empty name if there are none.
func CountingHost(team ident.Team, hosts []ident.Host) ident.Host {
	return elect.Pick(string(team), hosts)
}
