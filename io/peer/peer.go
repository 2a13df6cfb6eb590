// Package peer keeps a host in touch with the other edge hosts: its key under a lease in the platform's store, links and
// heartbeats, and copies of what a peer knows of the store when this host cannot read it.
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
	"jayshift/io/pulse"
	"jayshift/io/store"
	"jayshift/io/watch"
)

const (
	leaseSeconds   = 3
	renewalPause   = 1 * time.Second
	claimPause     = 300 * time.Millisecond // between tries to state the host in the store
	heartbeatPause = 500 * time.Millisecond
	freshHeartbeat = 1800 * time.Millisecond // after which a peer does not count as alive by its heartbeats
	forgetPeer     = 10 * time.Second
	leaveTimeout   = 500 * time.Millisecond
)

// Peer is another host.
type Peer struct {
	Host   ident.Host
	Zone   ident.AvailabilityZone
	Region ident.Region
	Caller string // where callers reach it
	Link   string // where its peers reach it
	State  wire.EdgeHeartbeat
	Heard  time.Time // last heartbeat
	leased bool
	lostAt time.Time // when its lease was found gone
}

// Fresh tells whether a heartbeat came lately.
func (p Peer) Fresh(now time.Time) bool { return now.Sub(p.Heard) <= freshHeartbeat }

// takesPart tells whether the peer is heard and not leaving.
func (p Peer) takesPart(now time.Time) bool { return p.Fresh(now) && !p.State.Leaving }

// Seams are what peers need from the rest of the process.
type Seams struct {
	Host  ident.Host
	Self  wire.Edge
	Store *store.Store
	Mesh  *link.Mesh
	Watch *watch.Watch
	Log   *slog.Logger
	Seeds []string // link addresses to try while the store is out and no peer is known
	// Heartbeat makes the host's heartbeat.
	Heartbeat func() wire.EdgeHeartbeat
	// Evidence returns outcomes to share with the heartbeat.
	Evidence func() []wire.Evidence
	// Named is called with the hosts that hold a lease, Heard with each heartbeat, Left when a host has stopped.
	Named func([]ident.Host)
	Heard func(ident.Host, wire.EdgeHeartbeat)
	Left  func(ident.Host)
}

// Peers knows the other hosts.
type Peers struct {
	seams   Seams
	lease   atomic.Int64
	leaving atomic.Bool

	mu    sync.Mutex
	peers map[ident.Host]*Peer
}

// New returns a host that knows no peers.
func New(seams Seams) *Peers { return &Peers{seams: seams, peers: map[ident.Host]*Peer{}} }

// Run states the host in the store, renews its lease, and sends heartbeats, until the context ends.
func (p *Peers) Run(ctx context.Context) {
	go p.every(ctx, heartbeatPause, p.beat)
	go p.every(ctx, copyPause, p.catchUp)
	for ctx.Err() == nil && !p.leaving.Load() {
		pause := renewalPause
		if err := p.renew(ctx); err != nil {
			pause = claimPause
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// every does something at once and after each pause.
func (p *Peers) every(ctx context.Context, pause time.Duration, do func(context.Context)) {
	do(ctx)
	pulse.Every(ctx, pause, func() { do(ctx) })
}

// renew extends the host's lease, or takes a new one and states the host under it.
func (p *Peers) renew(ctx context.Context) error {
	if lease := p.lease.Load(); lease != 0 {
		err := p.seams.Store.KeepAlive(ctx, lease)
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		p.seams.Log.Warn("lease lapsed", "lease", lease)
		p.lease.Store(0)
	}
	lease, err := p.seams.Store.Grant(ctx, leaseSeconds)
	if err != nil {
		return err
	}
	value, err := json.Marshal(p.seams.Self)
	if err != nil {
		return merry.Wrap(err)
	}
	write := store.Write{Key: watch.HostKey(p.seams.Host), Value: value, Lease: lease}
	if _, _, err := p.seams.Store.Txn(ctx, nil, []store.Write{write}, nil); err != nil {
		return err
	}
	p.lease.Store(lease)
	p.seams.Log.Info("host stated in the store", "lease", lease)
	return nil
}

// Leave takes the host out of the store and tells the peers.
func (p *Peers) Leave(ctx context.Context) {
	p.leaving.Store(true)
	p.beat(ctx)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if lease := p.lease.Load(); lease != 0 {
		if err := p.seams.Store.Revoke(ctx, lease); err != nil {
			p.seams.Log.Warn("lease not ended", "error", err.Error())
		}
	}
}

// beat sends a heartbeat to all peers, and drops peers that are gone.
func (p *Peers) beat(context.Context) {
	p.Refresh(time.Now())
	heartbeat := p.seams.Heartbeat()
	p.seams.Mesh.Broadcast(wire.Frame{EdgeHeartbeat: &heartbeat, Evidence: p.seams.Evidence()})
}

// Refresh takes in the hosts that hold a lease, and links to all that may be alive.
func (p *Peers) Refresh(now time.Time) {
	leased := p.seams.Watch.Hosts()
	p.mu.Lock()
	for host, edge := range leased {
		if host == p.seams.Host {
			continue
		}
		known := p.known(host)
		known.set(edge)
		known.leased = true
	}
	addresses := map[ident.Host]string{}
	for host, known := range p.peers {
		if _, ok := leased[host]; !ok && known.leased {
			known.leased = false
			known.lostAt = now
		}
		if !known.leased && now.Sub(known.Heard) > forgetPeer && now.Sub(known.lostAt) > forgetPeer {
			delete(p.peers, host)
			continue
		}
		addresses[host] = known.Link
	}
	p.mu.Unlock()
	p.seams.Mesh.SetPeers(addresses)
	if !p.seams.Watch.StoreLost() {
		p.seams.Named(hostsOf(leased, p.seams.Host))
	}
}

func hostsOf(leased map[ident.Host]wire.Edge, self ident.Host) []ident.Host {
	var hosts []ident.Host
	for host := range leased {
		if host != self {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// known returns what is known of a host. The lock is held.
func (p *Peers) known(host ident.Host) *Peer {
	known := p.peers[host]
	if known == nil {
		known = &Peer{Host: host}
		p.peers[host] = known
	}
	return known
}

func (p *Peer) set(e wire.Edge) {
	p.Zone, p.Region = ident.AvailabilityZone(e.AvailabilityZone), ident.Region(e.Region)
	p.Caller, p.Link = e.CallerAddress, e.LinkAddress
}

// Take takes in a heartbeat.
func (p *Peers) Take(now time.Time, from wire.Hello, h wire.EdgeHeartbeat) {
	host := ident.Host(from.Host)
	p.mu.Lock()
	known := p.known(host)
	known.Zone, known.Region = ident.AvailabilityZone(from.AvailabilityZone), ident.Region(from.Region)
	known.Caller, known.Link = from.CallerAddress, from.LinkAddress
	known.State, known.Heard = h, now
	p.mu.Unlock()
	if h.Leaving {
		p.seams.Left(host)
		return
	}
	p.seams.Heard(host, h)
}

// List returns all peers that may be alive, ordered by name.
func (p *Peers) List() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]Peer, 0, len(p.peers))
	for _, known := range p.peers {
		list = append(list, *known)
	}
	slices.SortFunc(list, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// Count returns how many peers may be alive.
func (p *Peers) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Hosts returns the names of the peers that take part and stand in a region that is wanted, in no order.
func (p *Peers) Hosts(now time.Time, wanted func(ident.Region) bool) []ident.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []ident.Host
	for host, known := range p.peers {
		if known.takesPart(now) && wanted(known.Region) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Alive returns the peers that take part: those with a fresh heartbeat that are not leaving.
func (p *Peers) Alive(now time.Time) []Peer {
	var alive []Peer
	for _, known := range p.List() {
		if known.takesPart(now) {
			alive = append(alive, known)
		}
	}
	return alive
}
