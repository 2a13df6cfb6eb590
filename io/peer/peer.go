// Package peer implements the membership of an edge host in the fleet: it registers the host under a lease in the
// platform's store, exchanges heartbeats with the other hosts, and fetches a peer's copy of the store while this
// host cannot read the store itself.
package peer

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/relay"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/ticker"
	"jayshift/io/watch"
)

const (
	leaseSeconds    = 3
	renewalInterval = 1 * time.Second
	// A host whose copy of the store is older than lateCopyAge renews its lease each lateInterval, to learn whether the store
	// could be read.
	lateCopyAge            = 1500 * time.Millisecond
	lateInterval           = 300 * time.Millisecond
	registrationRetryDelay = 300 * time.Millisecond  // after a failure to register the host or to renew its lease
	heartbeatTimeout       = 1800 * time.Millisecond // age of the last heartbeat after which a peer is not active
	peerRetention          = 10 * time.Second        // how long a peer without a lease and heartbeats stays known
	leaveTimeout           = 500 * time.Millisecond  // for revoking the lease
)

// Peer is the state of another host.
type Peer struct {
	Host          ident.Host
	Zone          ident.AvailabilityZone
	Region        ident.Region
	CallerAddress string // address that callers connect to
	LinkAddress   string // address that peers connect to
	linkMbit      float64
	Heartbeat     wire.EdgeHeartbeat
	HeartbeatAt   time.Time // when the last heartbeat arrived
	incarnation   int       // of the process that sent Heartbeat
	addedAt       time.Time // when this host first knew of it
	leased        bool
	left          bool      // Deps.OnLeave was called for this process
	leaseLostAt   time.Time // when its lease was found to have ended
}

// Fresh reports whether the last heartbeat is at most heartbeatTimeout old.
func (p Peer) Fresh(now time.Time) bool { return now.Sub(p.HeartbeatAt) <= heartbeatTimeout }

func (p Peer) relayHost() relay.Host {
	return relay.Host{Name: p.Host, Zone: p.Zone, Region: p.Region, LinkMbit: p.linkMbit}
}

// hasFreshCopy reports whether the peer has lately known its copy of the store to be complete, by its last heartbeat.
func (p Peer) hasFreshCopy() bool { return p.Heartbeat.Fresh != nil && *p.Heartbeat.Fresh }

// active reports whether the last heartbeat is fresh and the peer is not leaving.
func (p Peer) active(now time.Time) bool { return p.Fresh(now) && !p.Heartbeat.Leaving }

// Deps are the dependencies and settings of Peers.
type Deps struct {
	Host  ident.Host
	Self  wire.Edge
	Store *store.Store
	Watch *watch.Watch
	Log   *slog.Logger
	Seeds []string // link addresses to copy the store from while it is lost and was not loaded before
	// LeaseHolders returns the hosts that hold a lease as far as this host knows, StoreLost whether the store is out.
	LeaseHolders func() map[ident.Host]wire.Edge
	StoreLost    func() bool
	// SetLinks sets the hosts to be linked with, with their addresses, and Linked returns those to which a link is open.
	SetLinks func(map[ident.Host]string)
	Linked   func() []ident.Host
	// Send sends a frame over a link that this host has opened, Reply over a link that the other host has opened.
	Send  func(ident.Host, wire.Frame) error
	Reply func(ident.Host, wire.Frame) error
	// Heartbeat returns this host's next heartbeat, without its sequence.
	Heartbeat func() wire.EdgeHeartbeat
	// Evidence returns the request outcomes to send with the next heartbeat.
	Evidence func() []wire.Evidence
	// OnLeaseHolders is called with the other hosts that hold a lease, unless the store is lost. OnHeartbeat is called with
	// each heartbeat of a peer, also of one that is leaving, which serves on for a time, and OnLeave once that is heard no more.
	OnLeaseHolders func([]ident.Host)
	OnHeartbeat    func(ident.Host, wire.EdgeHeartbeat)
	OnLeave        func(ident.Host)
	// OnAlive is called when a peer's heartbeat has arrived unchanged.
	OnAlive func(ident.Host)
	// OnStore is called with the time at which a call was sent that the store has answered, OnFreshPeer when a heartbeat
	// arrives which says that the peer's copy is fresh, and OnCopyAge when it says how old that is.
	OnStore     func(sentAt time.Time)
	OnFreshPeer func()
	OnCopyAge   func(time.Duration)
	// CopyAge returns the time since this host's copy of the store was last confirmed.
	CopyAge func() time.Duration
	// OnMessage is called with the outcomes, faults and strikes that another host has sent to all hosts.
	OnMessage func(wire.Relayed)
	// Strikes returns the strikes that a host is told when a link to it opens. OnHandover is called with what another host has
	// told, and returns what of it was not known.
	Strikes    func() []wire.Strike
	OnHandover func(wire.Handover) wire.Handover
}

// Peers maintains the registration of this host and the state of the other hosts. It is safe for concurrent use.
type Peers struct {
	deps  Deps
	lease atomic.Int64
	// leaseUntil is the time at which the lease may have ended, counted from the sending of the last call that was answered.
	leaseUntil atomic.Pointer[leaseEnd]
	leaving    atomic.Bool

	mu        sync.Mutex
	peers     map[ident.Host]*Peer
	hostsByID map[int]ident.Host
	sequence  int // of this host's last heartbeat
	plan      relay.Plan
	// planner makes plan of the hosts that are heard, plannerOfAll the one of all hosts, whose links are opened too.
	planner, plannerOfAll planner

	uplink  uplink
	relayed relayed
}

// leaseEnd is the time at which a lease may have ended.
type leaseEnd struct {
	lease int64
	at    time.Time
}

// Lease returns the lease of this host's registration and the time at which it may have ended, zero without a lease.
func (p *Peers) Lease() (lease int64, until time.Time) {
	end := p.leaseUntil.Load()
	if end == nil || end.lease != p.lease.Load() {
		return 0, time.Time{}
	}
	return end.lease, end.at
}

func (p *Peers) setLeaseEnd(lease int64, sentAt time.Time) {
	p.leaseUntil.Store(&leaseEnd{lease: lease, at: sentAt.Add(leaseSeconds * time.Second)})
}

// New returns Peers without any known host.
func New(deps Deps) *Peers {
	return &Peers{
		deps: deps, peers: map[ident.Host]*Peer{}, hostsByID: map[int]ident.Host{}, plan: relay.Plan{IsRelay: true},
		planner: newPlanner(), plannerOfAll: newPlanner(), uplink: newUplink(), relayed: newRelayed(),
	}
}

// Run registers the host in the store, renews its lease, sends heartbeats and fetches copies of the store from peers while
// the store is lost, until the context ends. It stops renewing the lease when Leave is called.
func (p *Peers) Run(ctx context.Context) {
	go p.runEvery(ctx, heartbeatInterval, p.sendHeartbeat)
	go p.runEvery(ctx, flushInterval, func(context.Context) { p.flush(time.Now()) })
	go p.runEvery(ctx, copyInterval, p.fetchMissing)
	for ctx.Err() == nil && !p.leaving.Load() {
		delay := renewalInterval
		if p.deps.CopyAge() > lateCopyAge {
			delay = lateInterval
		}
		if err := p.renewLease(ctx); err != nil {
			delay = registrationRetryDelay
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}

// runEvery calls do immediately and then at each interval until the context ends.
func (p *Peers) runEvery(ctx context.Context, interval time.Duration, do func(context.Context)) {
	do(ctx)
	ticker.Every(ctx, interval, func() { do(ctx) })
}

// renewLease renews the host's lease. If there is none or it has expired, it registers the host under a new lease.
func (p *Peers) renewLease(ctx context.Context) error {
	if lease := p.lease.Load(); lease != 0 {
		sentAt := time.Now()
		err := p.deps.Store.KeepAlive(ctx, lease)
		if err == nil {
			p.setLeaseEnd(lease, sentAt)
			p.deps.OnStore(sentAt)
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		p.deps.Log.Warn("lease lapsed", "lease", lease)
		p.lease.Store(0)
	}
	sentAt := time.Now()
	lease, err := p.deps.Store.Grant(ctx, leaseSeconds)
	if err != nil {
		return err
	}
	p.deps.OnStore(sentAt)
	value, err := json.Marshal(p.deps.Self)
	if err != nil {
		return merry.Wrap(err)
	}
	write := store.Write{Key: watch.HostKey(p.deps.Host), Value: value, Lease: lease}
	if _, _, err := p.deps.Store.Txn(ctx, nil, []store.Write{write}, nil); err != nil {
		return err
	}
	p.setLeaseEnd(lease, sentAt)
	p.lease.Store(lease)
	p.deps.Log.Info("host stated in the store", "lease", lease)
	return nil
}

// Leave tells the peers that the host is leaving, and revokes its lease, which removes it from the store.
func (p *Peers) Leave(ctx context.Context) {
	p.leaving.Store(true)
	p.sendHeartbeat(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if lease := p.lease.Load(); lease != 0 {
		if err := p.deps.Store.Revoke(ctx, lease); err != nil {
			p.deps.Log.Warn("lease not ended", "error", err.Error())
		}
	}
}
