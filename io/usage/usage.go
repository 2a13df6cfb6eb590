// Package usage reports to the platform how many requests of each team backend servers began to run. Each host sends its
// counts to the host that holds the duty, which writes each report to the store and then sends it to the platform.
package usage

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/usage"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/ticker"
)

const (
	dutyInterval = 200 * time.Millisecond // between two looks at what the duty requires
	// Hosts of a fleet of up to smallFleet hosts send their counts each smallInterval, since the loss of a host matters more
	// there, and each largeInterval in a larger one.
	smallFleet    = 24
	smallInterval = 500 * time.Millisecond
	largeInterval = 1 * time.Second
	callTimeout   = 2 * time.Second // of a call of the platform
	maxCopyAge    = 2 * time.Second // of the copy of the store of a host that takes the duty
)

var (
	// ErrRefused means that the platform has seen a higher token. The token must not be used again.
	ErrRefused = merry.Sentinel("usage: a higher token was seen")
	// ErrBusy means that the platform gets too many calls.
	ErrBusy = merry.Sentinel("usage: too many calls")
	// ErrFailed means that there was no answer, or another one than the above. The call may be carried out later.
	ErrFailed = merry.Sentinel("usage: call failed")
)

// Report is a call of the platform.
type Report struct {
	Holder ident.Host
	Token  usage.Token
	Body   string
}

// Call sends a report to the platform. Its error wraps ErrRefused, ErrBusy or ErrFailed.
type Call func(ctx context.Context, r Report) error

// Result is the result of a call of the platform, as counted in metrics.
type Result string

// Results of calls.
const (
	Accepted Result = "accepted"
	Refused  Result = "refused"
	Busy     Result = "busy"
	Failed   Result = "failed"
)

// Deps are the dependencies and settings of a Reporter.
type Deps struct {
	Host        ident.Host
	Incarnation int
	Schedule    usage.Schedule
	LeaseTime   time.Duration // within which holders must not alternate
	Store       *store.Store
	Log         *slog.Logger
	Call        Call
	Encode      func(usage.Window, usage.Counts) string // returns the body of a report
	// Facts returns what this host knows, without Rank, which is this host's place among the Candidates: the hosts that compete
	// for the duty, in order. Leased returns the hosts that hold a lease.
	Facts      func() usage.Facts
	Candidates func() []ident.Host
	Leased     func() []ident.Host
	// Send sends a frame to a linked host. Uplink returns the relay that passes frames on for this host, an empty name if this
	// host is a relay itself or there is none.
	Send   func(to ident.Host, f wire.Frame) error
	Uplink func() ident.Host
	// CountCall and CountMissed record calls of the platform and windows that were given up.
	CountCall   func(Result)
	CountMissed func(windows int)
}

// Reporter counts the requests of this host and takes part in reporting them. It is safe for concurrent use.
type Reporter struct {
	deps    Deps
	counter *usage.Counter
	tally   *usage.Tally
	duty    *usage.Duty

	mu       sync.Mutex // held while a report is made, so that sequences follow the counts
	sequence int        // of this host's last report

	failures map[usage.Window]int // failed calls for the windows that may be sent again; used by Run only
}

// New returns a Reporter that has counted nothing.
func New(deps Deps) *Reporter {
	r := &Reporter{deps: deps, counter: usage.NewCounter(deps.Schedule), tally: usage.NewTally(deps.Schedule), failures: map[usage.Window]int{}}
	r.duty = usage.NewDuty(usage.Settings{
		Host: deps.Host, Incarnation: deps.Incarnation, Schedule: deps.Schedule, LeaseTime: deps.LeaseTime,
		Complete: func(w usage.Window) bool { return r.tally.Missing(w, deps.Leased()) == 0 },
		Body:     func(w usage.Window) string { return deps.Encode(w, r.tally.Total(w)) },
		OnBegin:  func(t usage.Token) { deps.Log.Info("usage duty taken", "token", int64(t)) },
		OnEnd: func(t usage.Token, reason usage.EndReason) {
			deps.Log.Info("usage duty ended", "token", int64(t), "reason", string(reason))
		},
		OnMissed: r.missed,
	})
	return r
}

func (r *Reporter) missed(first usage.Window, count int) {
	r.deps.CountMissed(count)
	r.deps.Log.Warn("usage windows missed", "first", int64(first), "windows", count)
}

// Begin counts a request of the team that is sent to a backend server now, and that is expected to wait there. The returned
// function must be called when it has ended: with false if the server has not run it.
func (r *Reporter) Begin(team ident.Team, wait time.Duration) (end func(ran bool)) {
	if team == "" { // an open route
		return func(bool) {}
	}
	done := r.counter.Begin(time.Now(), team, wait)
	return func(ran bool) { done(time.Now(), ran) }
}

// Holds reports whether this host holds the duty.
func (r *Reporter) Holds() bool { return r.duty.Holds(time.Now()) }

// Run takes part in reporting until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	go r.sendLoop(ctx)
	ticker.Every(ctx, dutyInterval, func() { r.work(ctx) })
}

// Stop ends the term of this host, which goes on to send its counts.
func (r *Reporter) Stop() { r.duty.Stop(time.Now()) }

// sendLoop sends the counts periodically until ctx ends.
func (r *Reporter) sendLoop(ctx context.Context) {
	sentAt := time.Time{}
	ticker.Every(ctx, smallInterval, func() {
		now := time.Now()
		if len(r.deps.Leased()) > smallFleet && now.Sub(sentAt) < largeInterval-smallInterval/2 {
			return
		}
		sentAt = now
		r.SendCounts()
	})
}

// SendCounts sends the counts of all windows whose reports are not fixed to the holder of the duty, or to hosts that may take it
// next if there is none.
func (r *Reporter) SendCounts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, f := time.Now(), r.deps.Facts()
	after := usage.Window(-1)
	if f.Record.Term != 0 {
		after = f.Record.Last
	}
	r.sequence++
	report := usage.Report{
		Host: r.deps.Host, Incarnation: r.deps.Incarnation, Sequence: r.sequence,
		Through: r.deps.Schedule.At(now) - 1, Windows: r.counter.Windows(now, after),
	}
	for _, to := range r.receivers(f.Key.Host) {
		if to == r.deps.Host {
			r.tally.Record(now, report)
			continue
		}
		r.sendTo(to, encodeReport(report))
	}
}

// receivers returns the hosts that this host sends its counts to. A host that is no relay does not know the candidates: while
// nobody holds the duty, its relay, which may take it, is the receiver.
func (r *Reporter) receivers(holder ident.Host) []ident.Host {
	if uplink := r.deps.Uplink(); holder == "" && uplink != "" {
		return []ident.Host{uplink}
	}
	return usage.Receivers(r.deps.Host, holder, r.deps.Candidates())
}

// sendTo sends counts to a host, through a relay if the host is not linked. Counts that cannot be sent are in the next report
// too.
func (r *Reporter) sendTo(to ident.Host, w wire.UsageReport) {
	if r.deps.Send(to, wire.Frame{Usage: &w}) == nil {
		return
	}
	if uplink := r.deps.Uplink(); uplink != "" && uplink != to {
		name := string(to)
		w.To = &name
		_ = r.deps.Send(uplink, wire.Frame{Usage: &w})
	}
}

// Receive handles the counts of another host. A report that is meant for a third host is passed on to it,
// never to another relay.
func (r *Reporter) Receive(w wire.UsageReport) {
	if w.To != nil && ident.Host(*w.To) != r.deps.Host {
		to := ident.Host(*w.To)
		w.To = nil
		_ = r.deps.Send(to, wire.Frame{Usage: &w})
		return
	}
	r.tally.Record(time.Now(), decodeReport(w))
}

// work makes the calls that the duty requires now.
func (r *Reporter) work(ctx context.Context) {
	for ctx.Err() == nil {
		f := r.deps.Facts()
		f.Rank = slices.Index(r.deps.Candidates(), r.deps.Host)
		a := r.duty.Next(time.Now(), f)
		if a.Kind == usage.Wait {
			return
		}
		r.duty.Done(time.Now(), a, r.call(ctx, a))
	}
}

// call makes one call of the store or the platform.
func (r *Reporter) call(ctx context.Context, a usage.Action) usage.Result {
	if !a.Until.IsZero() {
		// The deadline of a context does not see that the machine was suspended since the action was decided.
		if usage.Reached(time.Now(), a.Until) {
			return usage.Result{Outcome: usage.Failed}
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, a.Until)
		defer cancel()
	}
	switch a.Kind {
	case usage.Send:
		return r.send(ctx, a)
	case usage.Take:
		key := wire.UsageDuty{Host: string(r.deps.Host), Incarnation: r.deps.Incarnation, Lease: int(a.Lease)}
		return r.write(ctx, []store.Compare{{Key: DutyKey}}, DutyKey, key, a.Lease)
	case usage.Release:
		compares := []store.Compare{{Key: DutyKey, Revision: int64(a.KeyRevision)}}
		_, _, err := r.deps.Store.Txn(ctx, compares, []store.Write{{Key: DutyKey, Delete: true}}, nil)
		return usage.Result{Outcome: outcomeOf(err)}
	}
	compares := []store.Compare{{Key: DutyKey, Revision: int64(a.KeyRevision)}, {Key: RecordKey, Revision: int64(a.RecordRevision)}}
	return r.write(ctx, compares, RecordKey, EncodeRecord(a.Record), 0)
}

// send sends a report to the platform.
func (r *Reporter) send(ctx context.Context, a usage.Action) usage.Result {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.deps.Call(ctx, Report{Holder: r.deps.Host, Token: a.Token, Body: a.Report.Body})
	result, outcome := Failed, usage.Failed
	switch {
	case err == nil:
		result, outcome = Accepted, usage.Done
	case errors.Is(err, ErrRefused):
		result, outcome = Refused, usage.Refused
	case errors.Is(err, ErrBusy):
		result = Busy
	}
	r.deps.CountCall(result)
	r.logSend(a, err)
	return usage.Result{Outcome: outcome}
}

// logSend logs the first failed call for a window, and the accepted one with the number of calls that failed before.
func (r *Reporter) logSend(a usage.Action, err error) {
	w, now := a.Report.Window, time.Now()
	maps.DeleteFunc(r.failures, func(w usage.Window, _ int) bool { return now.After(r.deps.Schedule.Due(w).Add(callTimeout)) })
	if err == nil {
		r.deps.Log.Info("usage report accepted", "window", int64(w), "token", int64(a.Token), "failed-calls", r.failures[w])
		delete(r.failures, w)
		return
	}
	r.failures[w]++
	if r.failures[w] == 1 {
		r.deps.Log.Warn("usage report not accepted", "window", int64(w), "token", int64(a.Token), "error", err.Error())
	}
}

func outcomeOf(err error) usage.Outcome {
	switch {
	case err == nil:
		return usage.Done
	case errors.Is(err, store.ErrConflict):
		return usage.Conflict
	}
	return usage.Failed
}
