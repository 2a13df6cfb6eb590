package member

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/limit"
)

// maxHeartbeatAge is the age of a peer's last heartbeat from which the peer no longer counts as live.
const maxHeartbeatAge = 1500 * time.Millisecond

// liveHostsByRegion returns the hosts by region that have an unmarked seat, sent a heartbeat within maxHeartbeatAge and
// are not draining, and this host. The result is cached for liveHostsTTL, since every request that needs a peer uses
// it.
func (m *Member) liveHostsByRegion() map[string][]ident.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Before(m.liveHostsUntil) {
		return m.liveHosts
	}
	byRegion := map[string][]ident.Host{}
	for _, s := range m.table.Seats {
		host := ident.Host(s.Host)
		p := m.peers[host]
		if host == m.self() || (s.Mark == 0 && !p.Draining && now.Sub(p.LastHeartbeat) < maxHeartbeatAge) {
			byRegion[s.Region] = append(byRegion[s.Region], host)
		}
	}
	m.liveHosts = byRegion
	m.liveHostsUntil = now.Add(liveHostsTTL)
	return byRegion
}

// liveHostsTTL is how long the live hosts are cached.
const liveHostsTTL = 50 * time.Millisecond

// RegionHosts returns the live hosts in this host's region, including this host.
func (m *Member) RegionHosts() []ident.Host {
	hosts := m.liveHostsByRegion()[m.hello.Region]
	if len(hosts) == 0 {
		return []ident.Host{m.self()}
	}
	return hosts
}

// OtherRegionHosts returns the live hosts of each other region, ordered by region name.
func (m *Member) OtherRegionHosts() [][]ident.Host {
	byRegion := m.liveHostsByRegion()
	var names []string
	for region := range byRegion {
		if region != m.hello.Region {
			names = append(names, region)
		}
	}
	slices.Sort(names)
	var list [][]ident.Host
	for _, region := range names {
		list = append(list, byRegion[region])
	}
	return list
}

// ActiveHosts returns the live hosts with their regions, without this host while it is draining.
func (m *Member) ActiveHosts() []limit.Host {
	_, _, draining := m.deps.Load()
	var list []limit.Host
	for region, hosts := range m.liveHostsByRegion() {
		for _, host := range hosts {
			if host != m.self() || !draining {
				list = append(list, limit.Host{Name: host, Region: ident.Region(region)})
			}
		}
	}
	return list
}

// RecordLinkClosed records that the link to a host closed. The host does not count as live until its next heartbeat.
func (m *Member) RecordLinkClosed(host ident.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	p.LastHeartbeat = time.Time{}
	m.peers[host] = p
	m.liveHostsUntil = time.Time{}
}
