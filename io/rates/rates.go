// Package rates takes what requests need of their teams' rates. A burst that is too small to be cut among all hosts is
// counted for each region by one of its hosts, which the others ask; when it does not answer, a host counts alone.
package rates

import (
	"context"
	"log/slog"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/elect"
	"jayshift/core/ident"
	"jayshift/core/quota"
	"jayshift/core/wire"
)

// askTimeout is longer than a way to a host of the region and back, and short beside what a request may take.
const askTimeout = 60 * time.Millisecond

var errAnswer = merry.Sentinel("rates: not a grant")

// Seams are what rates need from the rest of the process.
type Seams struct {
	Self ident.Host
	Book *quota.Limiter
	// Near returns the hosts of this host's region that may be asked, without this host.
	Near func() []ident.Host
	Call func(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error)
	Cast func(host ident.Host, f wire.Frame) error
	Now  func() time.Time
	Log  *slog.Logger
}

// Rates counts requests here or at the host that counts for their team.
type Rates struct{ seams Seams }

// New returns rates over the book.
func New(seams Seams) *Rates { return &Rates{seams: seams} }

// Taken says where a request was counted.
type Taken struct {
	host ident.Host
	team ident.Team
}

// Take counts a request of the team. If the rate is used up it returns false and when to come back.
func (r *Rates) Take(ctx context.Context, team ident.Team) (t Taken, ok bool, after time.Duration) {
	host := r.seams.Self
	if r.seams.Book.HasSmallBurst(team) {
		host = r.keeper(team)
	}
	if host != r.seams.Self {
		if g, err := r.ask(ctx, host, team); err == nil {
			return Taken{host, team}, g.Taken, time.Duration(g.AfterMs) * time.Millisecond
		}
	}
	ok, after = r.seams.Book.Take(r.seams.Now(), team)
	return Taken{r.seams.Self, team}, ok, after
}

func (r *Rates) ask(ctx context.Context, host ident.Host, team ident.Team) (*wire.QuotaGrant, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	answer, err := r.seams.Call(ctx, host, wire.Frame{QuotaAsk: &wire.QuotaAsk{Team: string(team)}})
	if err == nil && answer.QuotaGrant == nil {
		err = errAnswer
	}
	return answer.QuotaGrant, err
}

// Return gives back what a request took that was not sent to any backend server. What the host that counted it does not
// hear stays counted.
func (r *Rates) Return(t Taken) {
	if t.host == r.seams.Self {
		r.seams.Book.Refund(t.team)
		return
	}
	if err := r.seams.Cast(t.host, wire.Frame{QuotaReturn: &wire.QuotaReturn{Team: string(t.team)}}); err != nil {
		r.seams.Log.Debug("request not taken back", "host", string(t.host), "team", string(t.team), "error", err.Error())
	}
}

// Answer counts a request that a peer has, or takes one back; nil when the frame is about something else.
func (r *Rates) Answer(f wire.Frame) *wire.Frame {
	switch {
	case f.QuotaReturn != nil:
		r.seams.Book.Refund(ident.Team(f.QuotaReturn.Team))
	case f.QuotaAsk != nil:
		ok, after := r.seams.Book.Take(r.seams.Now(), ident.Team(f.QuotaAsk.Team))
		return &wire.Frame{QuotaGrant: &wire.QuotaGrant{Taken: ok, AfterMs: int(after / time.Millisecond)}}
	}
	return nil
}

// keeper returns the host of the region that counts for the team.
func (r *Rates) keeper(team ident.Team) ident.Host {
	return elect.Pick(string(team), append(r.seams.Near(), r.seams.Self))
}
