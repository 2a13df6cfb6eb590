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
	minHeardShare      = 0.25            // share of the hosts that this host must hear to leave out silent ones
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
	addresses := p.updatePlan(now)
	p.mu.Unlock()
	p.deps.SetLinks(addresses)
	if !p.deps.StoreLost() {
		p.deps.OnLeaseHolders(otherHosts(leased, p.deps.Host))
	}
}

// updatePlan chooses the relays among the known hosts and returns the addresses of the hosts to be linked with. The caller
// must hold p.mu.
func (p *Peers) updatePlan(now time.Time) map[ident.Host]string {
	candidates := p.candidates(now)
	if !slices.Equal(candidates, p.planned) {
		p.plan, p.planned = relay.New(p.self(), candidates), candidates
	}
	addresses := map[ident.Host]string{}
	for _, host := range p.plan.Links {
		addresses[host] = p.peers[host].LinkAddress
	}
	return addresses
}

// candidates returns the hosts among which relays are chosen, sorted by name: those that hold a lease or were heard lately,
// and are not leaving. Hosts that have been silent for long are left out, unless this host hears so few others that it may
// be cut off itself.
func (p *Peers) candidates(now time.Time) []relay.Host {
	var list, heard []relay.Host
	for _, peer := range p.peers {
		if peer.LinkAddress == "" || peer.Heartbeat.Leaving || !peer.leased && !peer.Fresh(now) {
			continue
		}
		h := peer.relayHost()
		list = append(list, h)
		if now.Sub(peer.HeartbeatAt) <= silentRelayTimeout || now.Sub(peer.addedAt) <= silentRelayTimeout {
			heard = append(heard, h)
		}
	}
	if float64(len(heard)) >= minHeardShare*float64(len(list)) {
		list = heard
	}
	slices.SortFunc(list, func(a, b relay.Host) int { return cmp.Compare(a.Name, b.Name) })
	return list
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
