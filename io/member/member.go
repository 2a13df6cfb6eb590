// Package member keeps a host's seat in the fleet: it joins, renews, acknowledges its peers,
// and does the controller's work while it holds the controller lease.
package member

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/link"
	"jayshift/io/store"
)

const (
	controllerSeconds = 5 // length of the controller lease
	silentRenewals    = 3 // missed renewals after which a seat is marked
	lagPatience       = 2 // renewals for which the watch may lag behind the store
	joinRetry         = 200 * time.Millisecond
)

// Seams are what a member needs from the rest of the process.
type Seams struct {
	Store *store.Store
	Mesh  *link.Mesh
	Book  *share.Book
	Log   *slog.Logger
	// Revision returns the configuration revision in force here.
	Revision func() ident.Revision
	// Load returns the number of running requests, the free share of capacity and whether the host is stopping.
	Load func() (inFlight int, headroom float64, draining bool)
	// Stale is called when the store is seen to be ahead of the watch.
	Stale func()
	// Pull is called when a peer has a newer configuration.
	Pull func(peer ident.Host)
	// Lead is called while this host holds the controller lease.
	Lead func(ctx context.Context, now time.Time)
}

// Member is a host's part in the fleet.
type Member struct {
	seams   Seams
	hello   wire.Hello
	terms   seat.Terms
	renewal time.Duration
	beat    time.Duration
	seeds   map[ident.Host]string
	lease   atomic.Pointer[seat.Lease]

	mu            sync.Mutex
	table         wire.SeatTable
	tableRevision int64
	ownRevision   int64 // store revision of this host's last renewal
	ownWrite      string
	joined        bool
	left          bool
	lag           int
	peers         map[ident.Host]Peer
	round         int
	view          map[string][]ident.Host // live hosts by region
	viewUntil     time.Time

	controller controller
}

// Peer is what a host last said of itself.
type Peer struct {
	Revision ident.Revision
	InFlight int
	Headroom float64
	Draining bool
	Heard    time.Time
}

// Times are the intervals that a member works by.
type Times struct {
	Terms     seat.Terms
	Renewal   time.Duration
	Heartbeat time.Duration
}

// New returns a member that has no seat yet. seeds are link addresses to try before the seat table is known.
func New(hello wire.Hello, times Times, seeds map[ident.Host]string, seams Seams) *Member {
	m := &Member{
		seams: seams, hello: hello, terms: times.Terms, renewal: times.Renewal, beat: times.Heartbeat,
		seeds: seeds, peers: map[ident.Host]Peer{},
	}
	m.setIncarnation(nextIncarnation(0))
	return m
}

// nextIncarnation returns a start number above the one given; wall time keeps it rising over restarts.
func nextIncarnation(above int) int {
	return max(int(time.Now().UnixMilli()), above+1)
}

// setIncarnation starts over with nothing proved. The caller holds the lock or is the constructor.
func (m *Member) setIncarnation(n int) {
	m.hello.Incarnation = n
	m.joined = false
	m.lease.Store(seat.NewLease(m.self(), ident.Incarnation(n), m.terms))
}

func (m *Member) self() ident.Host { return ident.Host(m.hello.Host) }

// Hello returns what this host says of itself on links.
func (m *Member) Hello() wire.Hello {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hello
}

// Lease returns the serving lease of the present incarnation.
func (m *Member) Lease() *seat.Lease { return m.lease.Load() }

// Table returns the newest seat table.
func (m *Member) Table() wire.SeatTable {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// Peers returns what the other hosts last said of themselves.
func (m *Member) Peers() map[ident.Host]Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[ident.Host]Peer, len(m.peers))
	for h, p := range m.peers {
		out[h] = p
	}
	return out
}

// Run joins and renews until the context ends.
func (m *Member) Run(ctx context.Context) {
	m.relink()
	go m.beatLoop(ctx)
	for ctx.Err() == nil {
		wait := m.renewal
		if err := m.step(ctx); err != nil {
			m.seams.Log.Warn("seat renewal failed", "error", err.Error())
			wait = min(wait, joinRetry*2)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// step does one round: join when there is no seat, else renew, hand over partitions, and lead when it is this host's turn.
func (m *Member) step(ctx context.Context) error {
	if !m.hasSeat() {
		if err := m.join(ctx); err != nil {
			return err
		}
	}
	if err := m.renew(ctx); err != nil {
		return err
	}
	if err := m.release(ctx); err != nil {
		return err
	}
	return m.lead(ctx)
}

func (m *Member) hasSeat() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// SetTable takes in a seat table that stands at a store revision.
func (m *Member) SetTable(t wire.SeatTable, revision ident.Revision) {
	m.mu.Lock()
	if int64(revision) <= m.tableRevision {
		m.mu.Unlock()
		return
	}
	m.table = t
	m.tableRevision = int64(revision)
	m.follow(t)
	joined := m.joined
	m.mu.Unlock()
	if joined {
		m.seams.Book.SetTable(time.Now(), t, revision)
	}
	m.relink()
}

// follow compares the table with this host's seat; a host that lost its seat forgets its shares and starts over.
func (m *Member) follow(t wire.SeatTable) {
	m.lease.Load().SetTable(t)
	if !m.joined || m.left {
		return
	}
	s, ok := seat.Find(t, m.self())
	if ok && s.Mark == 0 && s.Incarnation == m.hello.Incarnation {
		return
	}
	m.seams.Log.Warn("seat lost", "host", m.hello.Host, "generation", t.Generation)
	m.seams.Book.Reset()
	m.setIncarnation(nextIncarnation(max(m.hello.Incarnation, s.Incarnation)))
	m.lease.Load().SetTable(t)
}

// relink sets the mesh's peers to the seated hosts, or to the seeds while no table is known.
func (m *Member) relink() {
	m.mu.Lock()
	addresses := map[ident.Host]string{}
	for _, s := range m.table.Seats {
		addresses[ident.Host(s.Host)] = s.LinkAddress
	}
	if len(addresses) == 0 {
		for h, a := range m.seeds {
			addresses[h] = a
		}
	}
	delete(addresses, m.self())
	m.mu.Unlock()
	m.seams.Mesh.SetPeers(addresses)
}

// readTable reads the table as it is now.
func (m *Member) readTable(ctx context.Context) error {
	_, found, err := m.seams.Store.Txn(ctx, nil, nil, []string{feed.TableKey})
	if err != nil {
		return err
	}
	m.adopt(found)
	return nil
}

// adopt takes in a table that a transaction read.
func (m *Member) adopt(found []store.KV) {
	for _, kv := range found {
		if string(kv.Key) != feed.TableKey {
			continue
		}
		var t wire.SeatTable
		if err := json.Unmarshal(kv.Value, &t); err == nil {
			m.SetTable(t, ident.Revision(kv.ModRevision))
		}
	}
}

// join takes a seat, reading the table as it is now.
func (m *Member) join(ctx context.Context) error {
	if err := m.readTable(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	t, revision, hello := m.table, m.tableRevision, m.hello
	m.mu.Unlock()
	if revision == 0 {
		t = seat.NewTable()
	}
	if s, ok := seat.Find(t, m.self()); !ok || s.Incarnation != hello.Incarnation {
		if ok && s.Incarnation >= hello.Incarnation {
			m.mu.Lock()
			m.setIncarnation(nextIncarnation(s.Incarnation))
			m.lease.Load().SetTable(t)
			hello = m.hello
			m.mu.Unlock()
		}
		next, err := seat.Join(time.Now(), t, hello)
		if err != nil {
			return err
		}
		if err := m.takeSeat(ctx, next, revision); err != nil {
			return err
		}
	}
	m.mu.Lock()
	m.joined = true
	t, revision = m.table, m.tableRevision
	m.mu.Unlock()
	m.seams.Log.Info("seat taken", "host", hello.Host, "incarnation", hello.Incarnation, "generation", t.Generation)
	m.seams.Book.SetTable(time.Now(), t, ident.Revision(revision))
	return nil
}

// takeSeat writes the table with this host's seat, and its first renewal in the same step.
func (m *Member) takeSeat(ctx context.Context, t wire.SeatTable, revision int64) error {
	m.mu.Lock()
	m.round++
	renewal := m.renewalRecord()
	renewal.Generation = t.Generation
	m.ownWrite = renewal.WriteId
	m.mu.Unlock()
	value, err := json.Marshal(renewal)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := m.writeTable(ctx, t, revision, store.Write{Key: feed.RenewalKey(renewal.Host), Value: value}); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownRevision = m.tableRevision
	return nil
}

// writeTable replaces the table that stands at the revision, with other keys in the same step. When the answer is lost, a read settles whether it landed.
func (m *Member) writeTable(ctx context.Context, t wire.SeatTable, revision int64, others ...store.Write) error {
	t.WriteId = store.NewWriteID()
	value, err := json.Marshal(t)
	if err != nil {
		return merry.Wrap(err)
	}
	compares := []store.Compare{{Key: feed.TableKey, Revision: revision}}
	writes := append([]store.Write{{Key: feed.TableKey, Value: value}}, others...)
	at, found, err := m.seams.Store.Txn(ctx, compares, writes, []string{feed.TableKey})
	if err == nil {
		m.SetTable(t, ident.Revision(at))
		return nil
	}
	m.adopt(found)
	if !errors.Is(err, store.ErrUnavailable) {
		return err
	}
	if readErr := m.readTable(ctx); readErr != nil {
		return err
	}
	if m.Table().WriteId == t.WriteId {
		return nil
	}
	return err
}

// renew writes this host's renewal. It lands only on the host's last one: a mark on the seat replaces that, and renewals fail.
func (m *Member) renew(ctx context.Context) error {
	m.mu.Lock()
	m.round++
	renewal := m.renewalRecord()
	compares := []store.Compare{{Key: feed.RenewalKey(renewal.Host), Revision: m.ownRevision}}
	lease := m.lease.Load()
	m.ownWrite = renewal.WriteId
	m.mu.Unlock()
	value, err := json.Marshal(renewal)
	if err != nil {
		return merry.Wrap(err)
	}
	sent := time.Now()
	writes := []store.Write{{Key: feed.RenewalKey(renewal.Host), Value: value}}
	revision, found, err := m.seams.Store.Txn(ctx, compares, writes, []string{feed.TableKey, feed.HeadKey, feed.LeaseKey})
	m.adopt(found)
	if err != nil {
		return m.settleRenewal(ctx, err)
	}
	m.controller.free = !slices.ContainsFunc(found, func(kv store.KV) bool { return string(kv.Key) == feed.LeaseKey })
	m.setOwn(revision)
	lease.Renewed(sent)
	m.checkHead(found)
	return nil
}

// renewalRecord returns the renewal to write. The caller holds the lock.
func (m *Member) renewalRecord() wire.Renewal {
	return wire.Renewal{
		Host: m.hello.Host, Incarnation: m.hello.Incarnation, Generation: m.table.Generation, Round: m.round,
		Revision: int(m.seams.Revision()), WriteId: store.NewWriteID(),
	}
}

func (m *Member) setOwn(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownRevision = revision
}

// settleRenewal reads the host's own key after a renewal that failed or whose answer was lost. A write of this host's
// own is where the next renewal goes on; anything else means that the seat was marked or taken.
func (m *Member) settleRenewal(ctx context.Context, failed error) error {
	_, found, err := m.seams.Store.Txn(ctx, nil, nil, []string{feed.RenewalKey(m.hello.Host), feed.TableKey})
	if err != nil {
		return failed
	}
	m.adopt(found)
	for _, kv := range found {
		var r wire.Renewal
		if string(kv.Key) == feed.RenewalKey(m.hello.Host) && json.Unmarshal(kv.Value, &r) == nil {
			m.mu.Lock()
			if r.WriteId == m.ownWrite {
				m.ownRevision = kv.ModRevision
			}
			m.mu.Unlock()
		}
	}
	return failed
}

// checkHead asks for a full read when the watch stays behind the store.
func (m *Member) checkHead(found []store.KV) {
	head := int64(0)
	for _, kv := range found {
		if string(kv.Key) == feed.HeadKey {
			head = kv.ModRevision
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if head <= int64(m.seams.Revision()) {
		m.lag = 0
		return
	}
	m.lag++
	if m.lag >= lagPatience {
		m.lag = 0
		m.seams.Log.Warn("watch lags behind the store", "head", head)
		m.seams.Stale()
	}
}

// release hands over the partitions that are no longer needed here.
func (m *Member) release(ctx context.Context) error {
	partitions := m.seams.Book.Releasable(time.Now())
	if len(partitions) == 0 {
		return nil
	}
	m.mu.Lock()
	t, revision := m.table, m.tableRevision
	m.mu.Unlock()
	err := m.writeTable(ctx, seat.Release(t, m.self(), partitions), revision)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}

// Leave gives up the seat once this host's work has ended; handedOver tells that other hosts have its records of runs.
func (m *Member) Leave(ctx context.Context, handedOver bool) error {
	m.mu.Lock()
	m.left = true
	incarnation := ident.Incarnation(m.hello.Incarnation)
	m.mu.Unlock()
	m.seams.Book.Reset()
	for ctx.Err() == nil {
		m.mu.Lock()
		t, revision := m.table, m.tableRevision
		m.mu.Unlock()
		next, err := seat.Leave(time.Now(), t, m.self(), incarnation, handedOver)
		if err != nil {
			return nil
		}
		err = m.writeTable(ctx, next, revision, store.Write{Key: feed.RenewalKey(m.hello.Host), Delete: true})
		if err == nil || !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return merry.Wrap(ctx.Err())
}
