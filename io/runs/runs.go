// Package runs records the runs of non-idempotent requests at their keepers, so that each runs at most once.
package runs

import (
	"context"
	"encoding/base64"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"jayshift/core/ident"
	"jayshift/core/once"
	"jayshift/core/seat"
	"jayshift/core/wire"
)

const (
	recordTimeout = 500 * time.Millisecond
	outcomeTries  = 3
	copiesAtOnce  = 64
)

// Steps of a record frame.
const (
	stepStart  = "start"
	stepFinish = "finish"
	stepCancel = "cancel"
	stepCopy   = "copy"
)

// Seams are what runs need from the rest of the process.
type Seams struct {
	Self        ident.Host
	Ledger      *once.Ledger
	Table       func() wire.SeatTable
	Incarnation func() int
	Call        func(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error)
}

// Runs starts runs and keeps the records that this host is a keeper of.
type Runs struct{ seams Seams }

// New returns runs over the ledger.
func New(seams Seams) *Runs { return &Runs{seams: seams} }

// Run is one started run.
type Run struct {
	runs    *Runs
	key     once.Key
	owner   once.Owner
	keepers []ident.Host
}

// Begin records the start of a run. On MayRun the caller must end the run with Finish or Cancel.
func (r *Runs) Begin(ctx context.Context, key once.Key) (*Run, once.Verdict, once.Record) {
	keepers := seat.Keepers(time.Now(), r.seams.Table(), string(key))
	run := &Run{runs: r, key: key, owner: r.newOwner()}
	for _, k := range keepers {
		if !k.Removed {
			run.keepers = append(run.keepers, k.Host)
		}
	}
	if len(keepers) == 0 {
		return nil, once.NoWriteQuorum, once.Record{}
	}
	answers := run.start(ctx)
	verdict, record := once.NewQuorum(len(keepers)).Decide(answers)
	if verdict == once.MayRun {
		return run, verdict, record
	}
	run.Cancel(ctx)
	if verdict == once.InProgress && !r.seated(record.Owner) {
		verdict = once.OutcomeUnknown
	}
	return nil, verdict, record
}

// newOwner names a run by its host, the host's incarnation and a unique number.
func (r *Runs) newOwner() once.Owner {
	return once.Owner(fmt.Sprintf("%s/%d/%s", r.seams.Self, r.seams.Incarnation(), uuid.NewString()))
}

// seated tells whether the host that started a run still has the seat that it had then.
func (r *Runs) seated(owner once.Owner) bool {
	for _, s := range r.seams.Table().Seats {
		prefix := fmt.Sprintf("%s/%d/", s.Host, s.Incarnation)
		if len(owner) > len(prefix) && string(owner[:len(prefix)]) == prefix {
			return true
		}
	}
	return false
}

// start asks all keepers at once and returns the answers that came in time.
func (run *Run) start(ctx context.Context) []once.Record {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []once.Record
	run.each(func(host ident.Host) {
		answer, ok := run.runs.ask(ctx, host, wire.Record{Key: string(run.key), Step: stepStart, Owner: string(run.owner)})
		if !ok {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, answer)
	})
	return answers
}

// each calls f for every keeper at once and waits.
func (run *Run) each(f func(host ident.Host)) {
	var wait sync.WaitGroup
	for _, host := range run.keepers {
		wait.Go(func() { f(host) })
	}
	wait.Wait()
}

// Finish records the outcome at the keepers, with a few tries each.
func (run *Run) Finish(ctx context.Context, state once.State, outcome once.Outcome) {
	run.tell(ctx, frameOf(stepFinish, run.key, once.Record{State: state, Owner: run.owner, Outcome: outcome}))
}

// Cancel removes the record of a run that was certainly not run.
func (run *Run) Cancel(ctx context.Context) {
	run.tell(ctx, wire.Record{Key: string(run.key), Step: stepCancel, Owner: string(run.owner)})
}

func (run *Run) tell(ctx context.Context, record wire.Record) {
	ctx = context.WithoutCancel(ctx)
	run.each(func(host ident.Host) {
		for range outcomeTries {
			try, cancel := context.WithTimeout(ctx, recordTimeout)
			_, ok := run.runs.ask(try, host, record)
			cancel()
			if ok {
				return
			}
		}
	})
}

// ask sends one step to a keeper, which may be this host.
func (r *Runs) ask(ctx context.Context, host ident.Host, record wire.Record) (once.Record, bool) {
	if host == r.seams.Self {
		return recordOf(r.Serve(&record)), true
	}
	answer, err := r.seams.Call(ctx, host, wire.Frame{Record: &record})
	if err != nil || answer.RecordAnswer == nil {
		return once.Record{}, false
	}
	return recordOf(answer.RecordAnswer), true
}

// Serve carries out one step at this host's ledger.
func (r *Runs) Serve(record *wire.Record) *wire.RecordAnswer {
	key, owner := once.Key(record.Key), once.Owner(record.Owner)
	now := time.Now()
	switch record.Step {
	case stepStart:
		return answerOf(r.seams.Ledger.Start(now, key, owner))
	case stepFinish:
		r.seams.Ledger.Finish(now, key, owner, once.State(record.State), outcomeOf(record.Status, record.Header, record.Body, record.Truncated))
	case stepCancel:
		r.seams.Ledger.Cancel(key, owner)
	case stepCopy:
		outcome := outcomeOf(record.Status, record.Header, record.Body, record.Truncated)
		r.seams.Ledger.Import(now, key, once.Record{State: once.State(record.State), Owner: owner, Outcome: outcome})
	}
	return &wire.RecordAnswer{}
}

// HandOver copies all records to the keepers that remain without this host. It returns true when every record is at
// two of its keepers at least, or at the only one: then nothing is lost when this host leaves.
func (r *Runs) HandOver(ctx context.Context) bool {
	r.seams.Ledger.Close()
	now := time.Now()
	var failed atomic.Bool
	var wait sync.WaitGroup
	room := make(chan struct{}, copiesAtOnce)
	for key, record := range r.seams.Ledger.All(now) {
		room <- struct{}{}
		wait.Go(func() {
			defer func() { <-room }()
			if !r.copyRecord(ctx, now, key, record) {
				failed.Store(true)
			}
		})
	}
	wait.Wait()
	return !failed.Load() && ctx.Err() == nil
}

func (r *Runs) copyRecord(ctx context.Context, now time.Time, key once.Key, record once.Record) bool {
	frame := frameOf(stepCopy, key, record)
	copies, keepers := 0, 0
	for _, k := range seat.Keepers(now, seat.Without(r.seams.Table(), r.seams.Self), string(key)) {
		if k.Removed {
			continue
		}
		keepers++
		try, cancel := context.WithTimeout(ctx, recordTimeout)
		if _, ok := r.ask(try, k.Host, frame); ok {
			copies++
		}
		cancel()
	}
	return copies >= min(2, keepers)
}

// frameOf returns the step that tells a keeper of a record.
func frameOf(step string, key once.Key, r once.Record) wire.Record {
	return wire.Record{
		Key: string(key), Step: step, Owner: string(r.Owner), State: string(r.State),
		Status: r.Outcome.Status, Header: r.Outcome.Header, Truncated: r.Outcome.Truncated,
		Body: base64.StdEncoding.EncodeToString(r.Outcome.Body),
	}
}

// outcomeOf reads an outcome from its wire form; a body that cannot be read counts as not kept.
func outcomeOf(status int, header map[string]string, text string, truncated bool) once.Outcome {
	body, err := base64.StdEncoding.DecodeString(text)
	return once.Outcome{Status: status, Header: header, Body: body, Truncated: truncated || err != nil}
}

func answerOf(r once.Record) *wire.RecordAnswer {
	return &wire.RecordAnswer{
		State: string(r.State), Owner: string(r.Owner), Status: r.Outcome.Status, Header: r.Outcome.Header,
		Body: base64.StdEncoding.EncodeToString(r.Outcome.Body), Truncated: r.Outcome.Truncated,
	}
}

func recordOf(a *wire.RecordAnswer) once.Record {
	return once.Record{
		State: once.State(a.State), Owner: once.Owner(a.Owner),
		Outcome: outcomeOf(a.Status, a.Header, a.Body, a.Truncated),
	}
}
