package member

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

const heardWithin = 1500 * time.Millisecond

// regions returns the seated hosts that were heard of lately, by region. The result is kept for a short while,
// since it is asked for with each request that needs a peer.
func (m *Member) regions() map[string][]ident.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if now.Before(m.viewUntil) {
		return m.view
	}
	view := map[string][]ident.Host{}
	for _, s := range m.table.Seats {
		host := ident.Host(s.Host)
		p := m.peers[host]
		if host == m.self() || (s.Mark == 0 && !p.Draining && now.Sub(p.Heard) < heardWithin) {
			view[s.Region] = append(view[s.Region], host)
		}
	}
	m.view = view
	m.viewUntil = now.Add(viewLife)
	return view
}

const viewLife = 50 * time.Millisecond

// Near returns the live hosts of this host's region, this host included.
func (m *Member) Near() []ident.Host {
	near := m.regions()[m.hello.Region]
	if len(near) == 0 {
		return []ident.Host{m.self()}
	}
	return near
}

// Far returns the live hosts of each other region, the regions in the order of their names.
func (m *Member) Far() [][]ident.Host {
	view := m.regions()
	var names []string
	for region := range view {
		if region != m.hello.Region {
			names = append(names, region)
		}
	}
	slices.Sort(names)
	var list [][]ident.Host
	for _, region := range names {
		list = append(list, view[region])
	}
	return list
}

// Unlinked notes that the link to a host closed: it counts as live again once it is heard.
func (m *Member) Unlinked(host ident.Host) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	p.Heard = time.Time{}
	m.peers[host] = p
	m.viewUntil = time.Time{}
}
