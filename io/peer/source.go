package peer

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/relay"
)

// CopySources returns the link addresses of the hosts whose copy of the store this host may take, the preferred one first. It
// returns none if this host is to read the store itself. Of each region one relay reads the store, the other relays take
// its copy, and all other hosts that of their uplink, so that no host serves the whole region.
func (p *Peers) CopySources(now time.Time) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.plan.IsRelay {
		return p.readers(now, p.uplinks())
	}
	var relays []relay.Host
	for _, host := range p.plan.Links {
		if peer := p.peers[host]; peer != nil {
			relays = append(relays, peer.relayHost())
		}
	}
	var hosts []ident.Host
	for _, h := range relay.Sources(p.self(), relays) {
		hosts = append(hosts, h.Name)
	}
	return p.readers(now, hosts)
}

// uplinks returns the relays that this host may send its messages to, the one that it uses first. The caller must hold p.mu.
func (p *Peers) uplinks() []ident.Host {
	list := slices.Clone(p.plan.Uplinks)
	if i := slices.Index(list, p.uplink.host); i > 0 {
		list = slices.Insert(slices.Delete(list, i, i+1), 0, p.uplink.host)
	}
	return list
}

// readers returns the link addresses of those of the hosts that are active and have not lost the store. The caller must hold
// p.mu.
func (p *Peers) readers(now time.Time, hosts []ident.Host) []string {
	var addresses []string
	for _, host := range hosts {
		if peer := p.peers[host]; peer != nil && peer.active(now) && peer.Heartbeat.Reads {
			addresses = append(addresses, peer.LinkAddress)
		}
	}
	return addresses
}
