// Package runs records each run of a non-idempotent request at the keepers of its key, the hosts that store the records of
// that key, so that the request runs at most once.
package runs

import (
	"context"
	"encoding/base64"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"jayshift/core/dedup"
	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/wire"
)

const (
	recordTimeout       = 500 * time.Millisecond
	maxSendAttempts     = 3
	maxConcurrentCopies = 64
)

// Values of the field Step of a wire.Record.
const (
	stepStart  = "start"
	stepFinish = "finish"
	stepCancel = "cancel"
	stepCopy   = "copy"
)

// Deps are the dependencies of a Recorder.
type Deps struct {
	Self        ident.Host
	Ledger      *dedup.Ledger
	Table       func() wire.SeatTable
	Incarnation func() int
	Call        func(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error)
}

// Recorder records the starts and outcomes of runs at their keepers, and serves the records that this host keeps.
type Recorder struct{ deps Deps }

// New returns a recorder with the given dependencies.
func New(deps Deps) *Recorder { return &Recorder{deps: deps} }

// Run is a run that this host has started to record.
type Run struct {
	recorder *Recorder
	key      dedup.Key
	owner    dedup.Owner
	keepers  []ident.Host
}

// Begin records the start of a run at the keepers of the key and decides from their answers whether it may run. If the
// verdict is dedup.MayRun, the caller must end the run with Finish or Cancel. Otherwise there is no run; if an earlier run
// is known, its record is returned.
func (r *Recorder) Begin(ctx context.Context, key dedup.Key) (*Run, dedup.Verdict, dedup.Record) {
	keepers := seat.Keepers(time.Now(), r.deps.Table(), string(key))
	run := &Run{recorder: r, key: key, owner: r.newOwner()}
	for _, k := range keepers {
		if !k.Removed {
			run.keepers = append(run.keepers, k.Host)
		}
	}
	if len(keepers) == 0 {
		return nil, dedup.NoWriteQuorum, dedup.Record{}
	}
	answers := run.recordStart(ctx)
	verdict, record := dedup.NewQuorum(len(keepers)).Decide(answers)
	if verdict == dedup.MayRun {
		return run, verdict, record
	}
	run.Cancel(ctx)
	if verdict == dedup.InProgress && !r.ownerHasSeat(record.Owner) {
		verdict = dedup.OutcomeUnknown
	}
	return nil, verdict, record
}

// newOwner returns a unique identifier of a run: the host, the host's incarnation and a UUID.
func (r *Recorder) newOwner() dedup.Owner {
	return dedup.Owner(fmt.Sprintf("%s/%d/%s", r.deps.Self, r.deps.Incarnation(), uuid.NewString()))
}

// ownerHasSeat reports whether the host that started a run still has the seat that it had then.
func (r *Recorder) ownerHasSeat(owner dedup.Owner) bool {
	for _, s := range r.deps.Table().Seats {
		prefix := fmt.Sprintf("%s/%d/", s.Host, s.Incarnation)
		if len(owner) > len(prefix) && string(owner[:len(prefix)]) == prefix {
			return true
		}
	}
	return false
}

// recordStart sends the start to all keepers concurrently and returns the answers that arrived within recordTimeout.
func (run *Run) recordStart(ctx context.Context) []dedup.Record {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	var mu sync.Mutex
	var answers []dedup.Record
	run.forEachKeeper(func(host ident.Host) {
		answer, ok := run.recorder.send(ctx, host, wire.Record{Key: string(run.key), Step: stepStart, Owner: string(run.owner)})
		if !ok {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		answers = append(answers, answer)
	})
	return answers
}

// forEachKeeper calls f for all keepers concurrently and waits for the calls to return.
func (run *Run) forEachKeeper(f func(host ident.Host)) {
	var wg sync.WaitGroup
	for _, host := range run.keepers {
		wg.Go(func() { f(host) })
	}
	wg.Wait()
}

// Finish records the outcome at the keepers, with up to maxSendAttempts attempts each.
func (run *Run) Finish(ctx context.Context, state dedup.State, outcome dedup.Outcome) {
	run.sendToKeepers(ctx, encodeRecord(stepFinish, run.key, dedup.Record{State: state, Owner: run.owner, Outcome: outcome}))
}

// Cancel removes the record of a run whose request has certainly not run.
func (run *Run) Cancel(ctx context.Context) {
	run.sendToKeepers(ctx, wire.Record{Key: string(run.key), Step: stepCancel, Owner: string(run.owner)})
}

func (run *Run) sendToKeepers(ctx context.Context, record wire.Record) {
	ctx = context.WithoutCancel(ctx)
	run.forEachKeeper(func(host ident.Host) {
		for range maxSendAttempts {
			attemptCtx, cancel := context.WithTimeout(ctx, recordTimeout)
			_, ok := run.recorder.send(attemptCtx, host, record)
			cancel()
			if ok {
				return
			}
		}
	})
}

// send sends a record to a keeper, which may be this host, and returns the answer.
func (r *Recorder) send(ctx context.Context, host ident.Host, record wire.Record) (dedup.Record, bool) {
	if host == r.deps.Self {
		return decodeAnswer(r.Handle(&record)), true
	}
	answer, err := r.deps.Call(ctx, host, wire.Frame{Record: &record})
	if err != nil || answer.RecordAnswer == nil {
		return dedup.Record{}, false
	}
	return decodeAnswer(answer.RecordAnswer), true
}

// Handle applies a record from a peer or from this host to the local ledger.
func (r *Recorder) Handle(record *wire.Record) *wire.RecordAnswer {
	key, owner := dedup.Key(record.Key), dedup.Owner(record.Owner)
	now := time.Now()
	switch record.Step {
	case stepStart:
		return encodeAnswer(r.deps.Ledger.Start(now, key, owner))
	case stepFinish:
		r.deps.Ledger.Finish(now, key, owner, dedup.State(record.State), decodeOutcome(record.Status, record.Header, record.Body, record.Truncated))
	case stepCancel:
		r.deps.Ledger.Cancel(key, owner)
	case stepCopy:
		outcome := decodeOutcome(record.Status, record.Header, record.Body, record.Truncated)
		r.deps.Ledger.Import(now, key, dedup.Record{State: dedup.State(record.State), Owner: owner, Outcome: outcome})
	}
	return &wire.RecordAnswer{}
}

// HandOver copies all records of this host to the keepers that remain after the host has left. It returns true if every
// record was copied to at least two of its keepers, or to the only one, so that no record is lost.
func (r *Recorder) HandOver(ctx context.Context) bool {
	r.deps.Ledger.Close()
	now := time.Now()
	var failed atomic.Bool
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCopies)
	for key, record := range r.deps.Ledger.All(now) {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			if !r.copyRecord(ctx, now, key, record) {
				failed.Store(true)
			}
		})
	}
	wg.Wait()
	return !failed.Load() && ctx.Err() == nil
}

func (r *Recorder) copyRecord(ctx context.Context, now time.Time, key dedup.Key, record dedup.Record) bool {
	message := encodeRecord(stepCopy, key, record)
	copies, keepers := 0, 0
	for _, k := range seat.Keepers(now, seat.Without(r.deps.Table(), r.deps.Self), string(key)) {
		if k.Removed {
			continue
		}
		keepers++
		attemptCtx, cancel := context.WithTimeout(ctx, recordTimeout)
		if _, ok := r.send(attemptCtx, k.Host, message); ok {
			copies++
		}
		cancel()
	}
	return copies >= min(2, keepers)
}

// encodeRecord returns the wire form of a record with the given step.
func encodeRecord(step string, key dedup.Key, r dedup.Record) wire.Record {
	return wire.Record{
		Key: string(key), Step: step, Owner: string(r.Owner), State: string(r.State),
		Status: r.Outcome.Status, Header: r.Outcome.Header, Truncated: r.Outcome.Truncated,
		Body: base64.StdEncoding.EncodeToString(r.Outcome.Body),
	}
}

// decodeOutcome decodes the wire form of an outcome. It marks an outcome whose body is not valid base64 as truncated.
func decodeOutcome(status int, header map[string]string, encodedBody string, truncated bool) dedup.Outcome {
	body, err := base64.StdEncoding.DecodeString(encodedBody)
	return dedup.Outcome{Status: status, Header: header, Body: body, Truncated: truncated || err != nil}
}

func encodeAnswer(r dedup.Record) *wire.RecordAnswer {
	return &wire.RecordAnswer{
		State: string(r.State), Owner: string(r.Owner), Status: r.Outcome.Status, Header: r.Outcome.Header,
		Body: base64.StdEncoding.EncodeToString(r.Outcome.Body), Truncated: r.Outcome.Truncated,
	}
}

func decodeAnswer(a *wire.RecordAnswer) dedup.Record {
	return dedup.Record{
		State: dedup.State(a.State), Owner: dedup.Owner(a.Owner),
		Outcome: decodeOutcome(a.Status, a.Header, a.Body, a.Truncated),
	}
}
