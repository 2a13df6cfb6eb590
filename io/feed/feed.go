// Package feed maintains a host's copy of the fleet's state in the platform's store: the configuration, the seat table
// and the verdicts on shifts' version moves.
package feed

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/store"
)

const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	maxHistory    = 512 // number of changes that are retained to serve deltas to peers
)

// ErrRevisionGap means that a delta starts at a later revision than the current snapshot.
var ErrRevisionGap = merry.Sentinel("feed: delta starts at a later revision than the snapshot")

// Callbacks are the functions that a feed calls when the state changes.
type Callbacks struct {
	// OnTable is called with each seat table that is read and the store revision at which it was written.
	OnTable func(wire.SeatTable, ident.Revision)
	// OnConfig is called with each newer snapshot. The feed's lock is held, so it must not call methods that take it.
	OnConfig func(*config.Snapshot)
}

// Feed holds the newest configuration that was read from the store or received from a peer. Its revision never
// decreases.
type Feed struct {
	store     *store.Store
	log       *slog.Logger
	callbacks Callbacks
	current   atomic.Pointer[config.Snapshot]

	mu           sync.Mutex
	loaded       bool
	history      []wire.Resource
	historyStart ident.Revision // the history has all changes after this revision
	carried      ident.Revision // of the head, see Head.Carried
	verdicts     map[string]wire.Verdict
	reload       chan struct{}
}

// New returns a feed with an empty configuration at revision 0.
func New(s *store.Store, log *slog.Logger, callbacks Callbacks) *Feed {
	f := &Feed{store: s, log: log, callbacks: callbacks, verdicts: map[string]wire.Verdict{}, reload: make(chan struct{}, 1)}
	f.current.Store(config.New(0, nil))
	return f
}

// Snapshot returns the configuration in force at this host.
func (f *Feed) Snapshot() *config.Snapshot { return f.current.Load() }

// Loaded reports whether a full configuration has been read from the store or received from a peer.
func (f *Feed) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Verdict returns the stored verdict on a shift's version moves and whether there is one.
func (f *Feed) Verdict(shift string) (wire.Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.verdicts[shift]
	return v, ok
}

// RequestReload ends the current watch so that Run reads everything again. It is called when the watch lags behind the
// store.
func (f *Feed) RequestReload() {
	select {
	case f.reload <- struct{}{}:
	default:
	}
}

// Run reads the state from the store and watches it for changes until ctx ends. After an error it starts again, with
// exponential backoff.
func (f *Feed) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		revision, err := f.load(ctx)
		if err == nil {
			delay = minRetryDelay
			err = f.watchFrom(ctx, revision+1)
		}
		if ctx.Err() != nil {
			return
		}
		f.log.Warn("feed interrupted", "error", err.Error(), "retry-in", delay.String())
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(delay*2, maxRetryDelay)
	}
}

// watchFrom watches the store for changes from the given revision on, until the watch fails, a reload is requested or
// ctx ends.
func (f *Feed) watchFrom(ctx context.Context, from int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-f.reload:
			cancel()
		case <-ctx.Done():
		}
	}()
	return f.store.Watch(ctx, statePrefix, from, func(b store.Batch) { f.applyEvents(b.Events) })
}

// load reads all keys below statePrefix, applies them and returns the store revision of the read. If the store was restored
// from a copy, it first writes again what was lost and reads once more.
func (f *Feed) load(ctx context.Context) (int64, error) {
	for {
		kvs, revision, err := f.store.Range(ctx, statePrefix)
		if err != nil {
			return 0, err
		}
		events := make([]store.Event, len(kvs))
		for i, kv := range kvs {
			events[i] = store.Event{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision}
		}
		head, list := f.dispatch(events)
		s := stored{era: ident.Revision(revision).Era(), revision: head, head: decodeHead(kvs), resources: list}
		if !f.mustCarry(s) {
			f.replaceSnapshot(config.New(head, list), s.head.Carried)
			return revision, nil
		}
		if err := f.carry(ctx, s); err != nil {
			return 0, err
		}
	}
}

// decodeHead returns the head among the keys.
func decodeHead(kvs []store.KV) Head {
	var h Head
	for _, kv := range kvs {
		if string(kv.Key) == HeadKey {
			_ = json.Unmarshal(kv.Value, &h)
		}
	}
	return h
}

// decodeResource decodes the resource of an event. It logs and skips a malformed one.
func (f *Feed) decodeResource(e store.Event) (wire.Resource, bool) {
	kind, name, ok := parseResourceKey(e.Key)
	if !ok {
		return wire.Resource{}, false
	}
	r := wire.Resource{Kind: kind, Name: name, Deleted: e.Deleted}
	if !e.Deleted {
		if err := json.Unmarshal(e.Value, &r); err != nil || config.ContentOf(r) == nil {
			f.log.Error("resource in the store is malformed", "kind", kind, "name", name)
			return wire.Resource{}, false
		}
	}
	r.Revision = int(e.Revision)
	r.Created = int(e.CreateRevision)
	return r, true
}

// applyOther applies an event of the seat table or of a verdict.
func (f *Feed) applyOther(e store.Event) {
	switch {
	case e.Key == TableKey && !e.Deleted:
		var t wire.SeatTable
		if json.Unmarshal(e.Value, &t) == nil {
			f.callbacks.OnTable(t, ident.Revision(e.Revision))
		}
	case strings.HasPrefix(e.Key, verdictPrefix):
		f.setVerdict(strings.TrimPrefix(e.Key, verdictPrefix), e)
	}
}

func (f *Feed) setVerdict(shift string, e store.Event) {
	var v wire.Verdict
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.Deleted || json.Unmarshal(e.Value, &v) != nil {
		delete(f.verdicts, shift)
		return
	}
	f.verdicts[shift] = v
}

// applyEvents applies a batch of watch events. A batch always holds all events of its store revisions.
func (f *Feed) applyEvents(events []store.Event) {
	if head, changes := f.dispatch(events); head > 0 {
		f.applyChanges(head, changes)
	}
}

// dispatch returns the revision of the head key, or 0 if it is not among the events, and the resources. It applies all
// other events.
func (f *Feed) dispatch(events []store.Event) (ident.Revision, []wire.Resource) {
	var list []wire.Resource
	head := ident.Revision(0)
	for _, e := range events {
		switch {
		case e.Key == HeadKey:
			head = ident.Revision(e.Revision)
		case strings.HasPrefix(e.Key, resourcePrefix):
			if r, ok := f.decodeResource(e); ok {
				list = append(list, r)
			}
		default:
			f.applyOther(e)
		}
	}
	return head, list
}

// replaceSnapshot applies a full configuration, unless the current one is as new or newer. The first full configuration
// is also applied at an equal revision. carried is the value of Head.Carried in it.
func (f *Feed) replaceSnapshot(s *config.Snapshot, carried ident.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.carried = max(f.carried, carried)
	first := !f.loaded
	f.loaded = true
	current := f.current.Load().Revision
	if s.Revision < current || (s.Revision == current && !first) {
		return
	}
	f.history = nil
	f.historyStart = s.Revision
	f.setSnapshot(s)
}

// applyChanges applies the changes up to the given revision, unless the current snapshot is as new or newer.
func (f *Feed) applyChanges(revision ident.Revision, changes []wire.Resource) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if revision <= current.Revision {
		return
	}
	changes = slices.DeleteFunc(changes, func(r wire.Resource) bool { return ident.Revision(r.Revision) <= current.Revision })
	f.history = append(f.history, changes...)
	if extra := len(f.history) - maxHistory; extra > 0 {
		f.historyStart = ident.Revision(f.history[extra-1].Revision)
		f.history = slices.Clone(f.history[extra:])
	}
	f.setSnapshot(current.With(revision, changes))
}

// setSnapshot puts a snapshot in force. The caller holds mu.
func (f *Feed) setSnapshot(s *config.Snapshot) {
	f.current.Store(s)
	f.log.Info("configuration in force", "revision", int64(s.Revision))
	f.callbacks.OnConfig(s)
}
