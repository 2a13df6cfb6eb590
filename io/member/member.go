// Package member maintains a host's membership in the fleet: it takes and renews the host's seat, exchanges heartbeats
// with peers, and does the controller's work while the host holds the controller lease.
package member

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/link"
	"jayshift/io/store"
)

const (
	controllerLeaseSeconds = 5                      // duration of the controller lease, in seconds
	maxMissedRenewals      = 3                      // renewal intervals without a renewal after which a seat is marked
	maxLagRenewals         = 2                      // consecutive renewals with the watch behind the store after which a full read is requested
	retryDelay             = 200 * time.Millisecond // a failed round is repeated after at most twice this time
)

// Deps are the dependencies of a Member.
type Deps struct {
	Store    *store.Store
	Mesh     *link.Mesh
	Registry *share.Registry
	Log      *slog.Logger
	// ConfigRevision returns the configuration revision in force at this host.
	ConfigRevision func() ident.Revision
	// Load returns the number of requests in flight, the free share of capacity from 0 to 1, and whether the host is
	// draining.
	Load func() (inFlight int, headroom float64, draining bool)
	// LimitReports returns the limits of backend servers that this host has seen in answers, and OnLimitReports is called
	// with those of a peer.
	LimitReports   func(now time.Time) []limit.Report
	OnLimitReports func(peer ident.Host, reports []limit.Report)
	// ReloadConfig requests a full read of the configuration. It is called when the watch lags behind the store.
	ReloadConfig func()
	// PullConfig fetches the configuration from a peer that has a newer one.
	PullConfig func(peer ident.Host)
	// RunController is called once per round while this host holds the controller lease. It may be nil.
	RunController func(ctx context.Context, now time.Time)
}

// Member manages a host's membership in the fleet.
type Member struct {
	deps              Deps
	hello             wire.Hello
	leaseTiming       seat.Timing
	renewalInterval   time.Duration
	heartbeatInterval time.Duration
	seeds             map[ident.Host]string
	lease             atomic.Pointer[seat.Lease]

	mu              sync.Mutex
	table           wire.SeatTable
	tableRevision   int64
	olderTable      int64     // revision of an older table that a restored store holds, noTable for none at all, 0 if it holds this one
	era             ident.Era // latest era of the store that this host has seen
	settleUntil     time.Time // until which no change is made to a table of an earlier era
	renewalRevision int64     // store revision of this host's last renewal
	writeIDPrefix   string    // prefix of the write IDs of this incarnation's renewals
	joined          bool
	left            bool
	lagCount        int
	peers           map[ident.Host]Peer
	round           int
	liveHosts       map[string][]ident.Host // cached live hosts by region
	liveHostsUntil  time.Time

	controller controller
}

// Peer is the state that a host reported in its last heartbeat.
type Peer struct {
	Revision      ident.Revision
	InFlight      int
	Headroom      float64
	Draining      bool
	LastHeartbeat time.Time // zero when the link has closed since
}

// Timing holds the durations and intervals of a member.
type Timing struct {
	Lease             seat.Timing
	RenewalInterval   time.Duration
	HeartbeatInterval time.Duration
}

// New returns a member without a seat. seeds are the link addresses to dial until the seat table is known.
func New(hello wire.Hello, timing Timing, seeds map[ident.Host]string, deps Deps) *Member {
	m := &Member{
		deps: deps, hello: hello, leaseTiming: timing.Lease, renewalInterval: timing.RenewalInterval,
		heartbeatInterval: timing.HeartbeatInterval, seeds: seeds, peers: map[ident.Host]Peer{},
	}
	m.setIncarnation(nextIncarnation(0))
	return m
}

// setIncarnation starts a new incarnation, with no seat and a new lease that does not permit serving yet. The caller
// holds mu or is the constructor.
func (m *Member) setIncarnation(n int) {
	m.hello.Incarnation = n
	m.writeIDPrefix = store.NewWriteID() + " "
	m.joined = false
	m.lease.Store(seat.NewLease(m.self(), ident.Incarnation(n), m.leaseTiming))
}

func (m *Member) self() ident.Host { return ident.Host(m.hello.Host) }

// Hello returns the handshake that this host sends on links.
func (m *Member) Hello() wire.Hello {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hello
}

// Lease returns the serving lease of the current incarnation.
func (m *Member) Lease() *seat.Lease { return m.lease.Load() }

// Table returns the newest seat table that this host has read.
func (m *Member) Table() wire.SeatTable {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table
}

// Peers returns the state that each other host reported in its last heartbeat.
func (m *Member) Peers() map[ident.Host]Peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	peers := make(map[ident.Host]Peer, len(m.peers))
	for h, p := range m.peers {
		peers[h] = p
	}
	return peers
}

// CanSpendLimits reports whether this host can spend from limits: it owns a partition, is linked to a host to borrow
// from, or is the only host.
func (m *Member) CanSpendLimits() bool {
	t := m.Table()
	if len(t.Seats) <= 1 || len(m.deps.Mesh.LinkedHosts()) > 0 {
		return true
	}
	return slices.ContainsFunc(t.Partitions, func(p wire.Partition) bool { return p.Owner == string(m.self()) })
}

// Run takes a seat, renews it and sends heartbeats until ctx ends.
func (m *Member) Run(ctx context.Context) {
	m.updatePeers()
	go m.heartbeatLoop(ctx)
	for ctx.Err() == nil {
		wait := m.renewalInterval
		if err := m.runRound(ctx); err != nil {
			m.deps.Log.Warn("seat renewal failed", "error", err.Error())
			wait = min(wait, retryDelay*2)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// runRound takes a seat if the host has none, renews it, hands over released partitions, and does the controller's work
// if this host holds the controller lease.
func (m *Member) runRound(ctx context.Context) error {
	if err := m.restoreTable(ctx); err != nil {
		return err
	}
	if !m.hasSeat() {
		if err := m.join(ctx); err != nil {
			return err
		}
	}
	if err := m.renew(ctx); err != nil {
		return err
	}
	if err := m.releasePartitions(ctx); err != nil {
		return err
	}
	return m.runController(ctx)
}

func (m *Member) hasSeat() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}
