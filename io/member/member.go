// Package member keeps a host's seat in the fleet: it joins, renews, acknowledges its peers,
// and does the controller's work while it holds the controller lease.
package member

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/wire"
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
	Book  *share.Registry
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
	terms   seat.Timing
	renewal time.Duration
	beat    time.Duration
	seeds   map[ident.Host]string
	lease   atomic.Pointer[seat.Lease]

	mu            sync.Mutex
	table         wire.SeatTable
	tableRevision int64
	ownRevision   int64  // store revision of this host's last renewal
	ownWrites     string // how the names of this incarnation's renewals begin
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
	Terms     seat.Timing
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

// setIncarnation starts over with nothing proved. The caller holds the lock or is the constructor.
func (m *Member) setIncarnation(n int) {
	m.hello.Incarnation = n
	m.ownWrites = store.NewWriteID() + " "
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

// Supplied tells whether limits can be spent here: this host holds parts of them, or is linked to a host that does, or
// is alone.
func (m *Member) Supplied() bool {
	t := m.Table()
	if len(t.Seats) <= 1 || len(m.seams.Mesh.Linked()) > 0 {
		return true
	}
	return slices.ContainsFunc(t.Partitions, func(p wire.Partition) bool { return p.Owner == string(m.self()) })
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
