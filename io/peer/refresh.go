package peer

import (
	"cmp"
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/relay"
	"jayshift/core/wire"
)

const (
	silentRelayTimeout = 5 * time.Second // without a heartbeat, after which a host is not chosen as a relay
	minHeardShare      = 0.25            // share of the hosts that this host must hear to leave out silent ones as relays
)

// Refresh updates the peers from the hosts that hold a lease, removes those without a lease or a heartbeat for longer than
// peerRetention, and opens the links that the plan of the fleet asks for.
func (p *Peers) Refresh(now time.Time) {
	leased := p.deps.LeaseHolders()
	p.mu.Lock()
	for host, entry := range leased {
		if host == p.deps.Host {
			continue
		}
		peer := p.getOrAdd(now, host)
		peer.update(entry)
		peer.leased = true
	}
	for host, peer := range p.peers {
		if _, ok := leased[host]; !ok && peer.leased {
			peer.leased = false
			peer.leaseLostAt = now
		}
		if !peer.leased && now.Sub(peer.HeartbeatAt) > peerRetention && now.Sub(peer.leaseLostAt) > peerRetention {
			delete(p.peers, host)
			delete(p.hostsByID, hostID(host))
			continue
		}
	}
	addresses, left := p.updatePlan(now), p.takeLeft(now)
	p.mu.Unlock()
	p.deps.SetLinks(addresses)
	for _, host := range left {
		p.deps.OnLeave(host)
	}
	if !p.deps.StoreLost() {
		p.deps.OnLeaseHolders(otherHosts(leased, p.deps.Host))
	}
}

// updatePlan chooses the relays among the hosts that are heard, and returns the addresses of the hosts to be linked with: those of
// that plan, and those of the plan for all known hosts. A host that holds a lease is dialled however long it has been silent,
// since hosts that leave each other out after a cut would never hear each other again. The caller must hold p.mu.
func (p *Peers) updatePlan(now time.Time) map[ident.Host]string {
	known, heard := p.candidates(now)
	p.plan = p.planner.plan(p.self(), heard)
	links := slices.Concat(p.plan.Links, p.plannerOfAll.plan(p.self(), known).Links)
	addresses := make(map[ident.Host]string, len(links))
	for _, host := range links {
		addresses[host] = p.peers[host].LinkAddress
	}
	return addresses
}

// takeLeft returns the hosts that have said that they leave and are heard no more. Until then they serve requests. The caller must
// hold p.mu.
func (p *Peers) takeLeft(now time.Time) []ident.Host {
	var left []ident.Host
	for host, peer := range p.peers {
		if peer.Heartbeat.Leaving && !peer.left && !peer.Fresh(now) {
			peer.left = true
			left = append(left, host)
		}
	}
	return left
}

// planner remembers the last plan, since the hosts seldom change.
type planner struct {
	hosts []relay.Host
	last  relay.Plan
}

func newPlanner() planner { return planner{last: relay.Plan{IsRelay: true}} }

// plan returns the plan of the host self among the hosts, which are sorted by name.
func (p *planner) plan(self relay.Host, hosts []relay.Host) relay.Plan {
	if !slices.Equal(hosts, p.hosts) {
		p.last, p.hosts = relay.New(self, hosts), hosts
	}
	return p.last
}

// candidates returns the hosts that hold a lease or were heard lately, and are not leaving, and those of them among which relays
// are chosen, both sorted by name. While this host reads the store these are the same, so that hosts that cannot hear each other
// choose the same relays. Its leases end no more in an outage of the store: then hosts that have been silent for long are no relays,
// unless this host hears so few others that it may be cut off itself.
func (p *Peers) candidates(now time.Time) (known, heard []relay.Host) {
	for _, peer := range p.peers {
		if peer.LinkAddress == "" || peer.Heartbeat.Leaving || !peer.leased && !peer.Fresh(now) {
			continue
		}
		h := peer.relayHost()
		known = append(known, h)
		if now.Sub(peer.HeartbeatAt) <= silentRelayTimeout || now.Sub(peer.addedAt) <= silentRelayTimeout {
			heard = append(heard, h)
		}
	}
	byName := func(a, b relay.Host) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(known, byName)
	slices.SortFunc(heard, byName)
	if !p.deps.StoreLost() || float64(len(heard)) < minHeardShare*float64(len(known)) {
		heard = known
	}
	return known, heard
}

func (p *Peers) self() relay.Host {
	s := p.deps.Self
	return relay.Host{
		Name: p.deps.Host, Zone: ident.AvailabilityZone(s.AvailabilityZone), Region: ident.Region(s.Region), LinkMbit: linkMbit(s),
	}
}

// linkMbit returns the bandwidth in a registration, zero if it has none or an odd one.
func linkMbit(e wire.Edge) float64 {
	if e.LinkMbit == nil || !(*e.LinkMbit > 0) {
		return 0
	}
	return *e.LinkMbit
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
func (p *Peers) getOrAdd(now time.Time, host ident.Host) *Peer {
	peer := p.peers[host]
	if peer == nil {
		peer = &Peer{Host: host, addedAt: now}
		p.peers[host] = peer
		p.hostsByID[hostID(host)] = host
	}
	return peer
}

func (p *Peer) update(e wire.Edge) {
	p.Zone, p.Region = ident.AvailabilityZone(e.AvailabilityZone), ident.Region(e.Region)
	p.CallerAddress, p.LinkAddress, p.linkMbit = e.CallerAddress, e.LinkAddress, linkMbit(e)
}
