package watch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/core/wire"
	"jayshift/io/pulse"
	"jayshift/io/store"
)

const (
	retryPause  = 250 * time.Millisecond
	expiryPause = 200 * time.Millisecond
	// returnTime is how long backend servers may take to state themselves anew after the store was away.
	returnTime = 2200 * time.Millisecond
	// restateTime bounds the wait for a new statement of a server whose zone was evacuated. Servers are often cold at the
	// end of an evacuation, which only a new statement tells.
	restateTime = 2500 * time.Millisecond
	leanTime    = 3 * time.Second // for which a host reads the store itself after its reader failed
	allKeys     = ""
)

// Seams are what a watch needs from the rest of the process.
type Seams struct {
	Store   *store.Store
	Decode  func(Item) (Change, error)
	Regions map[ident.AvailabilityZone]ident.Region
	Log     *slog.Logger
	Now     func() time.Time
	// Changed is called after anything but the numbers of statements has changed.
	Changed func()
	// Reader returns the address of the peer that reads the store for this host, false when this host reads itself.
	Reader func() (address string, ok bool)
	// Fetch asks a peer for what has changed after the revision; the peer may hold its answer while nothing has.
	Fetch func(ctx context.Context, address string, after ident.Revision) (wire.Copy, error)
}

// Watch holds what is known of the store.
type Watch struct {
	seams  Seams
	roster *roster.Roster

	mu         sync.Mutex
	items      map[string]held
	deletions  []Item         // the latest ones
	floor      ident.Revision // deletions up to it are not listed any more
	news       chan struct{}  // closed at the next change
	leanUntil  time.Time      // until when this host reads for itself, since its reader failed
	revision   ident.Revision // the items are complete up to it
	fresh      time.Time      // when the store or a copy last confirmed that
	loaded     bool
	storeLost  bool
	regained   time.Time // until when entries may be missing since the store was away
	table      *table.Table
	orders     map[ident.Service]Order
	verdicts   map[ident.Service]Verdict
	stages     map[ident.Service]Stage
	hosts      map[ident.Host]wire.Edge
	evacuated  map[ident.AvailabilityZone]bool
	repopulate map[ident.AvailabilityZone]time.Time
}

// New returns a watch that knows nothing yet.
func New(seams Seams) *Watch {
	return &Watch{
		seams: seams, roster: roster.New(returnTime), items: map[string]held{}, news: make(chan struct{}),
		orders: map[ident.Service]Order{}, verdicts: map[ident.Service]Verdict{}, stages: map[ident.Service]Stage{},
		hosts: map[ident.Host]wire.Edge{}, evacuated: map[ident.AvailabilityZone]bool{},
		repopulate: map[ident.AvailabilityZone]time.Time{},
	}
}

// Run follows the store until the context ends.
func (w *Watch) Run(ctx context.Context) {
	go w.expire(ctx)
	for ctx.Err() == nil {
		if address, ok := w.reader(); ok {
			w.followPeer(ctx, address)
			continue
		}
		err := w.follow(ctx)
		if errors.Is(err, store.ErrCompacted) {
			w.seams.Log.Info("store dropped its history, reading all", "revision", int64(w.Revision()))
			w.forceRead()
			continue
		}
		if ctx.Err() != nil || errors.Is(err, errReader) {
			continue
		}
		w.lost(err)
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
		}
	}
}

// errReader ends a watch of the store when a peer reads for this host.
var errReader = merry.Sentinel("watch: a peer reads the store")

// reader returns the peer that reads for this host, unless one has failed lately or nothing is known yet.
func (w *Watch) reader() (string, bool) {
	w.mu.Lock()
	lean := w.seams.Now().Before(w.leanUntil) || !w.loaded
	w.mu.Unlock()
	if lean {
		return "", false
	}
	return w.seams.Reader()
}

// followPeer takes in what a peer reads of the store. When the peer fails, this host reads for itself for a while.
func (w *Watch) followPeer(ctx context.Context, address string) {
	c, err := w.seams.Fetch(ctx, address, w.Revision())
	if err == nil {
		w.TakeCopy(c)
		return
	}
	w.mu.Lock()
	w.leanUntil = w.seams.Now().Add(leanTime)
	w.mu.Unlock()
	w.seams.Log.Info("reader lost, reading the store", "reader", address, "error", err.Error())
}

// follow reads everything if nothing is known, and then watches what changes.
func (w *Watch) follow(ctx context.Context) error {
	if w.needsRead() {
		kvs, revision, err := w.seams.Store.Range(ctx, allKeys)
		if err != nil {
			return err
		}
		items := make([]Item, len(kvs))
		for i, kv := range kvs {
			items[i] = itemOf(kv)
		}
		w.found()
		w.replace(items, ident.Revision(revision))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	relieved := false
	err := w.seams.Store.Watch(ctx, allKeys, int64(w.Revision()), func(events []store.Event, revision int64) {
		items := make([]Item, len(events))
		for i, e := range events {
			items[i] = eventOf(e)
		}
		w.found()
		w.take(items, ident.Revision(revision))
		if _, relieved = w.reader(); relieved {
			cancel()
		}
	})
	if relieved {
		return errReader
	}
	return err
}

func (w *Watch) needsRead() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.loaded
}

func (w *Watch) forceRead() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loaded = false
}

func (w *Watch) lost(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeLost {
		return
	}
	w.storeLost = true
	w.seams.Log.Warn("store lost", "error", err.Error(), "revision", int64(w.revision))
}

func (w *Watch) found() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.storeLost {
		return
	}
	w.storeLost = false
	w.regained = w.seams.Now().Add(returnTime)
	w.roster.StoreRecovered(w.seams.Now())
	w.seams.Log.Info("store regained", "revision", int64(w.revision))
}

// expire lets removals that had to wait take effect.
func (w *Watch) expire(ctx context.Context) {
	pulse.Every(ctx, expiryPause, func() {
		if w.roster.ApplyRemovals(w.seams.Now()) || w.repopulated() {
			w.seams.Changed()
		}
	})
}

// repopulated tells whether servers may have come free because their zone's evacuation ended a short while ago.
func (w *Watch) repopulated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.seams.Now()
	found := false
	for zone, at := range w.repopulate {
		found = true
		if now.Sub(at) > restateTime {
			delete(w.repopulate, zone)
		}
	}
	return found
}
