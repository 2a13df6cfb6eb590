package watch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/ticker"
)

const (
	retryDelay      = 250 * time.Millisecond // between attempts to read the store, in a fleet of up to retryHosts
	retryHosts      = 24                     // hosts; a larger fleet retries more slowly, so that it makes no more calls together
	maxRetryDelay   = 1500 * time.Millisecond
	removalInterval = 200 * time.Millisecond // between checks for removals that are due
	// removalDelay is how long backend servers may take to register again after a store outage.
	removalDelay = 2200 * time.Millisecond
	// reregisterTimeout limits the wait for a new registration of a server whose zone was evacuated. Servers are often
	// cold at the end of an evacuation, and only a new registration shows that.
	reregisterTimeout = 2500 * time.Millisecond
	directReadTime    = 3 * time.Second // how long a host reads the store itself after its reader peer failed
	allKeys           = ""
)

// Deps are the dependencies of a Watch.
type Deps struct {
	Store *store.Store
	// Decode decodes a key that was not written by a jayshift host. It may return both a change and an error.
	Decode       func(Item) (Change, error)
	RegionByZone map[ident.AvailabilityZone]ident.Region
	Log          *slog.Logger
	Now          func() time.Time
	// OnChange is called after every relevant change. A registration that differs only in its Seq is not relevant.
	OnChange func()
	// PeerReader returns the address of the peer that reads the store for this host, other than the failed one (empty for
	// none), or false if this host reads it itself.
	PeerReader func(failed string) (address string, ok bool)
	// FetchCopy fetches the changes after the revision from a peer. The peer may delay its answer until there is a change.
	FetchCopy func(ctx context.Context, address string, after ident.Revision) (wire.Copy, error)
}

// Watch holds a copy of the store.
type Watch struct {
	deps   Deps
	roster *roster.Roster

	mu                sync.Mutex
	items             map[string]storedItem
	deletions         []Item          // the latest ones, at most maxDeletions
	droppedDeletions  ident.Revision  // deletions up to this revision are no longer recorded
	changeCh          chan struct{}   // closed at the next relevant change or confirmation
	failedReader      string          // address of the reader peer that failed last
	failedUntil       time.Time       // time until which failedReader is not used
	directReadUntil   time.Time       // time until which this host reads the store itself after two reader peers failed
	revision          ident.Revision  // revision up to which items are complete
	confirmedAt       time.Time       // latest time at which the store is known to have had nothing beyond revision
	loaded            bool            // the copy was complete once
	incomplete        bool            // the store does not continue the history that was read, so that a full read is needed
	lost              map[string]Item // what the store holds in place of values that it lost in a restore, by key
	rewriteUntil      time.Time       // time until which lost values may be written again; zero if none are awaited
	storeLost         bool            // the last call to the store failed
	storeFailedAt     time.Time       // when the outage of the store began for this host
	caution           caution
	table             *table.Table
	orders            map[ident.Service]MoveOrder
	statuses          map[ident.Service]MoveStatus
	stages            map[ident.Service]Stage
	hosts             map[ident.Host]wire.Edge
	usageDuty         wire.UsageDuty
	usageRecord       wire.UsageRecord
	evacuated         map[ident.AvailabilityZone]bool
	evacuationEndedAt map[ident.AvailabilityZone]time.Time
}

// New returns a watch with an empty copy.
func New(deps Deps) *Watch {
	w := &Watch{
		deps: deps, roster: roster.New(removalDelay), items: map[string]storedItem{}, changeCh: make(chan struct{}),
		orders: map[ident.Service]MoveOrder{}, statuses: map[ident.Service]MoveStatus{}, stages: map[ident.Service]Stage{},
		hosts: map[ident.Host]wire.Edge{}, evacuated: map[ident.AvailabilityZone]bool{},
		evacuationEndedAt: map[ident.AvailabilityZone]time.Time{},
	}
	w.roster.Named = w.namesService
	return w
}

// namesService reports whether the configuration names the service, or is not known yet. The caller holds mu.
func (w *Watch) namesService(s ident.Service) bool {
	if w.table == nil {
		return true
	}
	_, ok := w.table.Service(s)
	return ok
}

// Run keeps the copy up to date until ctx ends. It fetches changes from the reader peer if there is one, and reads and
// watches the store otherwise.
func (w *Watch) Run(ctx context.Context) {
	go w.removalLoop(ctx)
	for ctx.Err() == nil {
		if address, ok := w.peerReader(); ok {
			w.readPeer(ctx, address)
			continue
		}
		err := w.watchStore(ctx)
		if errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrNewEra) {
			w.deps.Log.Info("history of the store is gone, reading all", "revision", int64(w.Revision()), "reason", err.Error())
			w.forceFullRead()
			continue
		}
		if ctx.Err() != nil || errors.Is(err, errPeerReads) {
			continue
		}
		w.markStoreLost(err)
		select {
		case <-time.After(w.nextRetryDelay()):
		case <-ctx.Done():
		}
	}
}

// errPeerReads ends the watch of the store when a peer has started to read it for this host.
var errPeerReads = merry.Sentinel("watch: a peer reads the store")

// nextRetryDelay returns the time until the next attempt to read the store. It grows with the fleet and varies by a
// quarter.
func (w *Watch) nextRetryDelay() time.Duration {
	w.mu.Lock()
	hosts := len(w.hosts)
	w.mu.Unlock()
	delay := min(max(retryDelay, retryDelay*time.Duration(hosts)/retryHosts), maxRetryDelay)
	return delay*3/4 + rand.N(delay/2)
}

// peerReader returns the address of the peer that reads the store for this host. It returns false if two failed within
// directReadTime or this host has no complete copy yet.
func (w *Watch) peerReader() (string, bool) {
	w.mu.Lock()
	now := w.deps.Now()
	direct := now.Before(w.directReadUntil) || !w.loaded || w.incomplete
	failed := ""
	if now.Before(w.failedUntil) {
		failed = w.failedReader
	}
	w.mu.Unlock()
	if direct {
		return "", false
	}
	return w.deps.PeerReader(failed)
}

// readPeer fetches and applies the changes from the reader peer. If the peer fails, another one is used for
// directReadTime; if that fails too, this host reads the store itself.
func (w *Watch) readPeer(ctx context.Context, address string) {
	requestedAt := w.deps.Now()
	c, err := w.deps.FetchCopy(ctx, address, w.Revision())
	if err == nil {
		w.ApplyCopy(c, requestedAt)
		return
	}
	w.mu.Lock()
	now := w.deps.Now()
	if now.Before(w.failedUntil) && w.failedReader != address {
		w.directReadUntil = now.Add(directReadTime)
	}
	w.failedReader, w.failedUntil = address, now.Add(directReadTime)
	w.mu.Unlock()
	w.deps.Log.Info("reader lost, using another", "reader", address, "error", err.Error())
}

// watchStore reads the whole store if necessary and then watches it for changes, until the watch fails, a peer starts to
// read the store for this host or ctx ends.
func (w *Watch) watchStore(ctx context.Context) error {
	if w.needsFullRead() {
		asOf := w.deps.Now()
		kvs, revision, err := w.deps.Store.Range(ctx, allKeys)
		if err != nil {
			return err
		}
		items := make([]Item, len(kvs))
		for i, kv := range kvs {
			items[i] = itemFromKV(kv)
		}
		w.markStoreRegained()
		w.replaceAll(items, ident.Revision(revision), asOf)
	}
	if _, ok := w.peerReader(); ok {
		return errPeerReads
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	peerReads := false
	err := w.deps.Store.Watch(ctx, allKeys, int64(w.Revision()), func(b store.Batch) {
		items := make([]Item, len(b.Events))
		for i, e := range b.Events {
			items[i] = itemFromEvent(e)
		}
		w.markStoreRegained()
		w.applyItems(items, ident.Revision(b.Revision), b.AsOf)
		if _, peerReads = w.peerReader(); peerReads {
			cancel()
		}
	})
	if peerReads {
		return errPeerReads
	}
	return err
}

func (w *Watch) needsFullRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.loaded || w.incomplete
}

func (w *Watch) forceFullRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incomplete = true
}

// markStoreLost records that the store cannot be read, and logs it at the start of the outage.
func (w *Watch) markStoreLost(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeLost {
		return
	}
	w.storeLost, w.storeFailedAt = true, w.deps.Now()
	w.deps.Log.Warn("store lost", "error", err.Error(), "revision", int64(w.revision))
}

// markStoreRegained records that the store was read after an outage. It delays removals of servers, since registrations
// may have expired during the outage, unless the store has served others meanwhile, whose copies this host has taken.
func (w *Watch) markStoreRegained() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.storeLost {
		return
	}
	w.storeLost = false
	now := w.deps.Now()
	cautious := !w.missedNothing(w.storeFailedAt, now)
	if cautious {
		w.beCautious(caution{failedAt: w.storeFailedAt, until: now.Add(removalDelay)})
	}
	w.deps.Log.Info("store regained", "revision", int64(w.revision), "removals-delayed", cautious)
}

// removalLoop calls ApplyDue until ctx ends.
func (w *Watch) removalLoop(ctx context.Context) {
	ticker.Every(ctx, removalInterval, w.ApplyDue)
}

// ApplyDue applies delayed removals that are due, also of keys that the store has lost in a restore. It calls OnChange if
// there were any or an evacuation has recently ended.
func (w *Watch) ApplyDue() {
	removed := w.roster.ApplyRemovals(w.deps.Now())
	rewritten := w.endRewriting()
	if w.checkEvacuationsEnded() || removed || rewritten {
		w.deps.OnChange()
	}
}

// checkEvacuationsEnded reports whether any evacuation has recently ended, so that Servers may return more servers than
// before. It drops evacuations that ended more than reregisterTimeout ago.
func (w *Watch) checkEvacuationsEnded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.deps.Now()
	found := false
	for zone, at := range w.evacuationEndedAt {
		found = true
		if now.Sub(at) > reregisterTimeout {
			delete(w.evacuationEndedAt, zone)
		}
	}
	return found
}
