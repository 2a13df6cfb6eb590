// Package feed keeps a host's copy of what the platform's store holds for the fleet:
// the configuration, the seat table and the stated results of moves.
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
	retryLeast  = 100 * time.Millisecond
	retryMost   = 2 * time.Second
	historySize = 512 // changes kept for peers that ask for them
)

// ErrBehind means that a delta does not fit the snapshot at hand.
var ErrBehind = merry.Sentinel("feed: delta does not fit the revision at hand")

// Seams are what a feed tells the rest of the process.
type Seams struct {
	// Table is called for each newer seat table, with the store revision that it stands at.
	Table func(wire.SeatTable, ident.Revision)
	// Config is called for each newer snapshot.
	Config func(*config.Snapshot)
}

// Feed holds the newest configuration seen, from the store or from peers. Its revision never goes back.
type Feed struct {
	store   *store.Store
	log     *slog.Logger
	seams   Seams
	current atomic.Pointer[config.Snapshot]

	mu       sync.Mutex
	loaded   bool
	history  []wire.Resource
	horizon  ident.Revision // the history is whole after this revision
	verdicts map[string]wire.Verdict
	stale    chan struct{}
}

// New returns a feed with an empty configuration at revision zero.
func New(s *store.Store, log *slog.Logger, seams Seams) *Feed {
	f := &Feed{store: s, log: log, seams: seams, verdicts: map[string]wire.Verdict{}, stale: make(chan struct{}, 1)}
	f.current.Store(config.New(0, nil))
	return f
}

// Snapshot returns the configuration in force at this host.
func (f *Feed) Snapshot() *config.Snapshot { return f.current.Load() }

// Loaded tells whether a whole configuration has been read, from the store or a peer.
func (f *Feed) Loaded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loaded
}

// Verdict returns the stated result of a shift's moves.
func (f *Feed) Verdict(shift string) (wire.Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	v, ok := f.verdicts[shift]
	return v, ok
}

// Stale asks for a full read, since the store was seen to be ahead of the watch.
func (f *Feed) Stale() {
	select {
	case f.stale <- struct{}{}:
	default:
	}
}

// Run follows the store until the context ends.
func (f *Feed) Run(ctx context.Context) {
	delay := retryLeast
	for ctx.Err() == nil {
		revision, err := f.load(ctx)
		if err == nil {
			delay = retryLeast
			err = f.follow(ctx, revision+1)
		}
		if ctx.Err() != nil {
			return
		}
		f.log.Warn("feed interrupted", "error", err.Error(), "retry-in", delay.String())
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(delay*2, retryMost)
	}
}

// follow watches from the revision on, until the watch fails or was found to lag.
func (f *Feed) follow(ctx context.Context, from int64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-f.stale:
			cancel()
		case <-ctx.Done():
		}
	}()
	return f.store.Watch(ctx, watched, from, func(events []store.Event, _ int64) { f.apply(events) })
}

// load reads everything.
func (f *Feed) load(ctx context.Context) (int64, error) {
	kvs, revision, err := f.store.Range(ctx, watched)
	if err != nil {
		return 0, err
	}
	events := make([]store.Event, len(kvs))
	for i, kv := range kvs {
		events[i] = store.Event{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision}
	}
	head, list := f.sort(events)
	f.replace(config.New(head, list))
	return revision, nil
}

func (f *Feed) resource(e store.Event) (wire.Resource, bool) {
	kind, name, ok := splitResource(e.Key)
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

func (f *Feed) other(e store.Event) {
	switch {
	case e.Key == TableKey && !e.Deleted:
		var t wire.SeatTable
		if json.Unmarshal(e.Value, &t) == nil {
			f.seams.Table(t, ident.Revision(e.Revision))
		}
	case strings.HasPrefix(e.Key, verdicts):
		f.setVerdict(strings.TrimPrefix(e.Key, verdicts), e)
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

// apply takes in a batch of watch events, which holds whole store revisions.
func (f *Feed) apply(events []store.Event) {
	if head, changes := f.sort(events); head > 0 {
		f.advance(head, changes)
	}
}

// sort returns the head's revision, zero when it is not among the events, and the resources; all else it takes in.
func (f *Feed) sort(events []store.Event) (ident.Revision, []wire.Resource) {
	var list []wire.Resource
	head := ident.Revision(0)
	for _, e := range events {
		switch {
		case e.Key == HeadKey:
			head = ident.Revision(e.Revision)
		case strings.HasPrefix(e.Key, resources):
			if r, ok := f.resource(e); ok {
				list = append(list, r)
			}
		default:
			f.other(e)
		}
	}
	return head, list
}

// replace takes in a whole configuration, unless one as new is at hand.
func (f *Feed) replace(s *config.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	first := !f.loaded
	f.loaded = true
	current := f.current.Load().Revision
	if s.Revision < current || (s.Revision == current && !first) {
		return
	}
	f.history = nil
	f.horizon = s.Revision
	f.swap(s)
}

// advance takes in changes that lead to the revision, unless it is at hand already.
func (f *Feed) advance(revision ident.Revision, changes []wire.Resource) {
	f.mu.Lock()
	defer f.mu.Unlock()
	current := f.current.Load()
	if revision <= current.Revision {
		return
	}
	changes = slices.DeleteFunc(changes, func(r wire.Resource) bool { return ident.Revision(r.Revision) <= current.Revision })
	f.history = append(f.history, changes...)
	if extra := len(f.history) - historySize; extra > 0 {
		f.horizon = ident.Revision(f.history[extra-1].Revision)
		f.history = slices.Clone(f.history[extra:])
	}
	f.swap(current.With(revision, changes))
}

func (f *Feed) swap(s *config.Snapshot) {
	f.current.Store(s)
	f.log.Info("configuration in force", "revision", int64(s.Revision))
	f.seams.Config(s)
}

// Delta returns the changes after a revision for a peer, or everything when the history does not reach back.
func (f *Feed) Delta(after ident.Revision) wire.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.current.Load()
	if after < f.horizon || after == 0 {
		return wire.Delta{Revision: int(s.Revision), Resources: s.Resources()}
	}
	var list []wire.Resource
	for _, r := range f.history {
		if ident.Revision(r.Revision) > after {
			list = append(list, r)
		}
	}
	return wire.Delta{Base: int(after), Revision: int(s.Revision), Resources: list}
}

// Merge takes in a peer's delta.
func (f *Feed) Merge(d wire.Delta) error {
	revision := ident.Revision(d.Revision)
	if d.Base == 0 {
		f.replace(config.New(revision, d.Resources))
		return nil
	}
	if ident.Revision(d.Base) > f.Snapshot().Revision {
		return ErrBehind
	}
	f.advance(revision, d.Resources)
	return nil
}
