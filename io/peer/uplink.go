package peer

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	uplinkTimeout  = 1 * time.Second // without a frame from the relay, after which another is used
	uplinkDistrust = 5 * time.Second // for which a relay that fell silent is not used
)

// uplink is the relay that this host sends its messages to, if it is no relay itself.
type uplink struct {
	host            ident.Host
	heardAt         time.Time // when the last frame of host arrived, or when it became the uplink
	distrustedUntil map[ident.Host]time.Time
}

func newUplink() uplink { return uplink{distrustedUntil: map[ident.Host]time.Time{}} }

// heard records a frame from a host.
func (u *uplink) heard(host ident.Host, now time.Time) {
	if host == u.host {
		u.heardAt = now
	}
}

// choose returns the relay to send to: the current one as long as it is linked and heard, otherwise the most preferred one
// of the relays that are linked and have not fallen silent lately. It returns an empty name if there is none.
func (u *uplink) choose(now time.Time, preferred, linked []ident.Host) ident.Host {
	if u.host != "" && now.Sub(u.heardAt) > uplinkTimeout {
		u.distrustedUntil[u.host] = now.Add(uplinkDistrust)
		u.host = ""
	}
	if !slices.Contains(linked, u.host) || !slices.Contains(preferred, u.host) {
		u.host = ""
	}
	if u.host != "" {
		return u.host
	}
	for _, host := range preferred {
		if slices.Contains(linked, host) && now.After(u.distrustedUntil[host]) {
			u.host, u.heardAt = host, now
			break
		}
	}
	return u.host
}

// broadcast sends an entry of this host to all hosts. It returns the number of hosts that it was sent to directly.
func (p *Peers) broadcast(now time.Time, e wire.Relayed) int {
	e.Host, e.Incarnation = string(p.deps.Host), p.deps.Self.Incarnation
	linked := p.deps.Linked()
	p.mu.Lock()
	plan := p.plan
	relay := ident.Host("")
	if !plan.IsRelay {
		relay = p.uplink.choose(now, plan.Uplinks, linked)
	}
	p.mu.Unlock()
	if relay != "" {
		if p.deps.Send(relay, wire.Frame{Uplink: &e}) != nil {
			return 0
		}
		return 1
	}
	sent := 0
	f := wire.Frame{EdgeHeartbeat: e.EdgeHeartbeat, Evidence: e.Evidence, Trip: e.Trip, Strike: e.Strike}
	for _, host := range linked {
		if p.deps.Send(host, f) == nil {
			sent++
		}
	}
	p.queueDown(now, p.hello(), e, nil)
	return sent
}

func (p *Peers) hello() wire.Hello {
	s := p.deps.Self
	return wire.Hello{
		Host: string(p.deps.Host), AvailabilityZone: s.AvailabilityZone, Region: s.Region, Incarnation: s.Incarnation,
		LinkAddress: s.LinkAddress, CallerAddress: s.CallerAddress,
	}
}
