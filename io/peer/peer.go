// Package peer implements the membership of an edge host in the fleet: it registers the host under a lease in the
// platform's store, exchanges heartbeats with the other hosts, and fetches a peer's copy of the store while this
// host cannot read the store itself.
package peer

import (
	"cmp"
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
	"jayshift/core/wire"
	"jayshift/io/link"
	"jayshift/io/store"
	"jayshift/io/ticker"
	"jayshift/io/watch"
)

const (
	leaseSeconds           = 3
	renewalInterval        = 1 * time.Second
	registrationRetryDelay = 300 * time.Millisecond // after a failure to register the host or to renew its lease
	heartbeatInterval      = 500 * time.Millisecond
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
	Heartbeat     wire.EdgeHeartbeat
	HeartbeatAt   time.Time // when the last heartbeat arrived
	leased        bool
	leaseLostAt   time.Time // when its lease was found to have ended
}

// Fresh reports whether the last heartbeat is at most heartbeatTimeout old.
func (p Peer) Fresh(now time.Time) bool { return now.Sub(p.HeartbeatAt) <= heartbeatTimeout }

// active reports whether the last heartbeat is fresh and the peer is not leaving.
func (p Peer) active(now time.Time) bool { return p.Fresh(now) && !p.Heartbeat.Leaving }

// Deps are the dependencies and settings of Peers.
type Deps struct {
	Host  ident.Host
	Self  wire.Edge
	Store *store.Store
	Mesh  *link.Mesh
	Watch *watch.Watch
	Log   *slog.Logger
	Seeds []string // link addresses to copy the store from while it is lost and was not loaded before
	// Heartbeat returns this host's next heartbeat.
	Heartbeat func() wire.EdgeHeartbeat
	// Evidence returns the request outcomes to send with the next heartbeat.
	Evidence func() []wire.Evidence
	// OnLeaseHolders is called with the other hosts that hold a lease, unless the store is lost. OnHeartbeat is called with
	// each heartbeat of a peer, or OnLeave if the heartbeat says that the peer is leaving.
	OnLeaseHolders func([]ident.Host)
	OnHeartbeat    func(ident.Host, wire.EdgeHeartbeat)
	OnLeave        func(ident.Host)
}

// Peers maintains the registration of this host and the state of the other hosts. It is safe for concurrent use.
type Peers struct {
	deps    Deps
	lease   atomic.Int64
	leaving atomic.Bool

	mu    sync.Mutex
	peers map[ident.Host]*Peer
}

// New returns Peers without any known host.
func New(deps Deps) *Peers { return &Peers{deps: deps, peers: map[ident.Host]*Peer{}} }

// Run registers the host in the store, renews its lease, sends heartbeats and fetches copies of the store from peers while
// the store is lost, until the context ends. It stops renewing the lease when Leave is called.
func (p *Peers) Run(ctx context.Context) {
	go p.runEvery(ctx, heartbeatInterval, p.sendHeartbeat)
	go p.runEvery(ctx, copyInterval, p.fetchMissing)
	for ctx.Err() == nil && !p.leaving.Load() {
		delay := renewalInterval
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
		err := p.deps.Store.KeepAlive(ctx, lease)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		p.deps.Log.Warn("lease lapsed", "lease", lease)
		p.lease.Store(0)
	}
	lease, err := p.deps.Store.Grant(ctx, leaseSeconds)
	if err != nil {
		return err
	}
	value, err := json.Marshal(p.deps.Self)
	if err != nil {
		return merry.Wrap(err)
	}
	write := store.Write{Key: watch.HostKey(p.deps.Host), Value: value, Lease: lease}
	if _, _, err := p.deps.Store.Txn(ctx, nil, []store.Write{write}, nil); err != nil {
		return err
	}
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

// sendHeartbeat refreshes the list of peers and sends a heartbeat to all of them.
func (p *Peers) sendHeartbeat(context.Context) {
	p.Refresh(time.Now())
	heartbeat := p.deps.Heartbeat()
	p.deps.Mesh.Broadcast(wire.Frame{EdgeHeartbeat: &heartbeat, Evidence: p.deps.Evidence()})
}

// Refresh updates the peers from the hosts that hold a lease, removes those without a lease or a heartbeat for longer than
// peerRetention, and opens links to the others.
func (p *Peers) Refresh(now time.Time) {
	leased := p.deps.Watch.Hosts()
	p.mu.Lock()
	for host, entry := range leased {
		if host == p.deps.Host {
			continue
		}
		peer := p.getOrAdd(host)
		peer.update(entry)
		peer.leased = true
	}
	addresses := map[ident.Host]string{}
	for host, peer := range p.peers {
		if _, ok := leased[host]; !ok && peer.leased {
			peer.leased = false
			peer.leaseLostAt = now
		}
		if !peer.leased && now.Sub(peer.HeartbeatAt) > peerRetention && now.Sub(peer.leaseLostAt) > peerRetention {
			delete(p.peers, host)
			continue
		}
		addresses[host] = peer.LinkAddress
	}
	p.mu.Unlock()
	p.deps.Mesh.SetPeers(addresses)
	if !p.deps.Watch.StoreLost() {
		p.deps.OnLeaseHolders(otherHosts(leased, p.deps.Host))
	}
}

func otherHosts(leased map[ident.Host]wire.Edge, self ident.Host) []ident.Host {
	var hosts []ident.Host
	for host := range leased {
		if host != self {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// getOrAdd returns the peer of a host, which it adds if it is not known. The caller must hold p.mu.
func (p *Peers) getOrAdd(host ident.Host) *Peer {
	peer := p.peers[host]
	if peer == nil {
		peer = &Peer{Host: host}
		p.peers[host] = peer
	}
	return peer
}

func (p *Peer) update(e wire.Edge) {
	p.Zone, p.Region = ident.AvailabilityZone(e.AvailabilityZone), ident.Region(e.Region)
	p.CallerAddress, p.LinkAddress = e.CallerAddress, e.LinkAddress
}

// RecordHeartbeat updates a peer from a heartbeat.
func (p *Peers) RecordHeartbeat(now time.Time, from wire.Hello, h wire.EdgeHeartbeat) {
	host := ident.Host(from.Host)
	p.mu.Lock()
	peer := p.getOrAdd(host)
	peer.Zone, peer.Region = ident.AvailabilityZone(from.AvailabilityZone), ident.Region(from.Region)
	peer.CallerAddress, peer.LinkAddress = from.CallerAddress, from.LinkAddress
	peer.Heartbeat, peer.HeartbeatAt = h, now
	p.mu.Unlock()
	if h.Leaving {
		p.deps.OnLeave(host)
		return
	}
	p.deps.OnHeartbeat(host, h)
}

// List returns all known peers, including those that are not active, ordered by name.
func (p *Peers) List() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Peer, 0, len(p.peers))
	for _, peer := range p.peers {
		list = append(list, *peer)
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Count returns the number of known peers, including those that are not active.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Hosts returns the names of the active peers in matching regions, in no particular order.
func (p *Peers) Hosts(now time.Time, match func(ident.Region) bool) []ident.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []ident.Host
	for host, peer := range p.peers {
		if peer.active(now) && match(peer.Region) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Active returns the active peers, ordered by name: those with a fresh heartbeat that are not leaving.
func (p *Peers) Active(now time.Time) []Peer {
	var list []Peer
	for _, peer := range p.List() {
		if peer.active(now) {
			list = append(list, peer)
		}
	}
	return list
}
