package watch

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/core/wire"
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
	w.roster.StoreBack(w.seams.Now())
	w.seams.Log.Info("store regained", "revision", int64(w.revision))
}

// expire lets removals that had to wait take effect.
func (w *Watch) expire(ctx context.Context) {
	ticker := time.NewTicker(expiryPause)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if w.roster.Expire(w.seams.Now()) || w.repopulated() {
			w.seams.Changed()
		}
	}
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

// replace takes in all keys of the store; keys that are missing were deleted.
func (w *Watch) replace(items []Item, revision ident.Revision) {
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
	}
	w.mu.Lock()
	for key, known := range w.items {
		if !present[key] && known.Revision <= revision {
			items = append(items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	w.loaded = true
	w.mu.Unlock()
	w.take(items, revision)
}

// take applies changes in the order given.
func (w *Watch) take(items []Item, revision ident.Revision) {
	w.mu.Lock()
	changed := false
	for _, i := range items {
		changed = w.apply(i) || changed
	}
	w.revision = max(w.revision, revision)
	w.fresh = w.seams.Now()
	w.mu.Unlock()
	if changed {
		w.seams.Changed()
	}
}

// apply takes in one key, and tells whether it changed anything that matters. The lock is held.
func (w *Watch) apply(i Item) bool {
	known, ok := w.items[i.Key]
	if ok && i.Revision <= known.Revision || !ok && i.Deleted {
		return false
	}
	changed := w.decode(i)
	w.hold(i, known, changed)
	return changed
}

// decode takes in what a key says. The lock is held.
func (w *Watch) decode(i Item) (changed bool) {
	if own, err := w.takeOwn(i); own {
		w.complain(i, err)
		return true
	}
	change, err := w.seams.Decode(i)
	w.complain(i, err)
	return w.change(change)
}

func (w *Watch) complain(i Item, err error) {
	if err != nil {
		w.seams.Log.Warn("value in the store left out", "key", i.Key, "revision", int64(i.Revision), "error", err.Error())
	}
}

// change applies a decoded change. The lock is held.
func (w *Watch) change(c Change) bool {
	now := w.seams.Now()
	switch {
	case c.Table != nil:
		return w.setTable(c.Table)
	case c.Server != nil:
		c.Server.Region = w.seams.Regions[c.Server.Zone]
		return w.roster.State(now, *c.Server)
	case c.Removed != "":
		w.roster.Remove(now, c.Removed)
	case c.Order != nil:
		w.orders[c.Order.Service] = *c.Order
		w.seams.Log.Info("move ordered", "service", string(c.Order.Service), "to", string(c.Order.To), "within", c.Order.Within)
	case c.Withdrawn != "":
		delete(w.orders, c.Withdrawn)
	case c.Verdict != nil:
		w.verdicts[c.Verdict.Service] = *c.Verdict
	case c.Evacuated != "":
		w.evacuated[c.Evacuated] = true
		w.seams.Log.Info("availability zone evacuated", "zone", string(c.Evacuated))
	case c.Repopulate != "":
		delete(w.evacuated, c.Repopulate)
		w.repopulate[c.Repopulate] = now
		w.seams.Log.Info("evacuation over", "zone", string(c.Repopulate))
	default:
		return false
	}
	return true
}

// setTable takes in a configuration; earlier versions than the one in force never replace it.
func (w *Watch) setTable(c *table.Content) bool {
	if w.table != nil && c.Version <= w.table.Version {
		return false
	}
	w.table = table.New(*c)
	w.seams.Log.Info("configuration in force", "version", int64(c.Version), "routes", len(c.Routes), "teams", len(c.Teams))
	return true
}

// Table returns the configuration in force, nil when none is known.
func (w *Watch) Table() *table.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

// Servers returns the backend servers that requests may be sent to.
func (w *Watch) Servers() []roster.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.seams.Now()
	list := w.roster.List()
	kept := list[:0]
	for _, e := range list {
		since, back := w.repopulate[e.Zone]
		if w.evacuated[e.Zone] || back && !e.Stated.After(since) && now.Sub(since) <= restateTime {
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

// Gone notes that a process of a backend server has certainly ended.
func (w *Watch) Gone(s roster.Server) { w.roster.Gone(s.ID, s.Born) }

// Revision returns the store revision up to which all changes are known.
func (w *Watch) Revision() ident.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// Orders returns the orders to move services.
func (w *Watch) Orders() []Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Order, 0, len(w.orders))
	for _, o := range w.orders {
		list = append(list, o)
	}
	return list
}

// Verdict returns what operators read of a service's move.
func (w *Watch) Verdict(service ident.Service) (Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.verdicts[service]
	return v, ok
}

// Stage returns how far the move of a service is.
func (w *Watch) Stage(service ident.Service) (Stage, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.stages[service]
	return s, ok
}

// Hosts returns the hosts that hold a lease.
func (w *Watch) Hosts() map[ident.Host]wire.Edge {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.hosts)
}

// StoreLost tells whether the last call to the store failed.
func (w *Watch) StoreLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeLost
}

// Loaded tells whether a configuration and a list of servers are known.
func (w *Watch) Loaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded && w.table != nil
}
