package peer

import (
	"cmp"
	"slices"
	"time"

	"jayshift/core/elect"
	"jayshift/core/ident"
)

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

// Relays returns the active relays of a region, which may include this host, in no particular order.
func (p *Peers) Relays(now time.Time, region ident.Region) []ident.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []ident.Host
	if p.plan.IsRelay && region == ident.Region(p.deps.Self.Region) && !p.leaving.Load() {
		hosts = append(hosts, p.deps.Host)
	}
	for _, host := range p.plan.Links {
		if peer := p.peers[host]; peer != nil && peer.Region == region && peer.active(now) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Candidates returns the active relays of all regions, which may include this host, in an order that all hosts share for the
// subject. It returns none if this host is no relay.
func (p *Peers) Candidates(now time.Time, subject string) []ident.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.plan.IsRelay {
		return nil
	}
	var hosts []ident.Host
	if !p.leaving.Load() {
		hosts = append(hosts, p.deps.Host)
	}
	for _, host := range p.plan.Links {
		if peer := p.peers[host]; peer != nil && peer.active(now) {
			hosts = append(hosts, host)
		}
	}
	slices.SortFunc(hosts, func(a, b ident.Host) int {
		return cmp.Or(cmp.Compare(elect.Score(subject, b), elect.Score(subject, a)), cmp.Compare(a, b))
	})
	return hosts
}

// Uplink returns the relay that this host sends its messages to, an empty name if this host is a relay or knows none.
func (p *Peers) Uplink(now time.Time) ident.Host {
	linked := p.deps.Linked()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.plan.IsRelay {
		return ""
	}
	return p.uplink.choose(now, p.plan.Uplinks, linked)
}

// ActiveRegions returns the number of regions with an active host, including this host's.
func (p *Peers) ActiveRegions(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	regions := map[ident.Region]bool{ident.Region(p.deps.Self.Region): true}
	for _, peer := range p.peers {
		if peer.active(now) {
			regions[peer.Region] = true
		}
	}
	return len(regions)
}
