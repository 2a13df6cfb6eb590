package node

import (
	"context"
	"time"

	"jayshift/core/elect"
	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/pace"
	"jayshift/core/poison"
	"jayshift/core/quota"
	"jayshift/core/region"
	"jayshift/core/relay"
	"jayshift/core/stale"
	"jayshift/core/wire"
	"jayshift/io/rates"
)

// directoryTTL is the time for which callers may cache a response of the directory.
const directoryTTL = 2 * time.Second

// ready reports whether the host accepts new callers.
func (n *Node) ready() bool { return n.watch.Loaded() && !n.leaving.Load() && !n.copyExpired() }

func (n *Node) heartbeat() wire.EdgeHeartbeat {
	n.quota.SetCounters(quota.Counters{Hosts: n.peers.ActiveRegions(time.Now()), Counts: n.countsTeam()})
	now := time.Now()
	n.logExpiry()
	n.updateLimits(now)
	names, sum := n.quota.TeamNames()
	fresh, reaches := n.watch.Fresh(stale.MaxFreshAge), n.edge.ReachesServers(now)
	h := wire.EdgeHeartbeat{
		Fresh: &fresh, Reaches: &reaches,
		Ready: n.ready(), Leaving: n.leaving.Load(), Reads: !n.watch.StoreLost(), CutOff: n.reach.CutOff(), Revision: int(n.watch.Revision()),
		Teams: sum, Usage: quota.Encode(names, n.quota.ReportUsage(now)), Limits: n.limitReports(now),
		Regions: region.Encode(n.balancer.Regions().Report(now)), Paces: n.paceReports(now),
	}
	if age := int(n.watch.Age().Milliseconds()); n.hostCount() <= relay.MaxMesh {
		h.CopyAgeMs = &age
	}
	if t := n.watch.Table(); t != nil {
		h.Version = int(t.Version)
	}
	for service, version := range n.rolls.Versions() {
		if h.Versions == nil {
			h.Versions = wire.EdgeHeartbeatVersions{}
		}
		h.Versions[string(service)] = string(version)
	}
	for _, order := range n.watch.Orders() {
		if to, moving := n.rolls.MoveTarget(order.Service); moving {
			if h.Old == nil {
				h.Old = wire.EdgeHeartbeatOld{}
			}
			h.Old[string(order.Service)] = n.edge.RunningExcept(order.Service, to)
		}
	}
	return h
}

// recordPeer records the limits of backend servers and the team usage in a peer's heartbeat. While the two hosts know
// different teams, the usage cannot be decoded, and shows only that the peer is alive.
func (n *Node) recordPeer(host ident.Host, h wire.EdgeHeartbeat) {
	names, sum := n.quota.TeamNames()
	if h.Teams != sum {
		names = nil
	}
	now := time.Now()
	n.quota.RecordPeerUsage(now, host, quota.Decode(names, h.Usage))
	n.limits.RecordReports(now, host, limit.Decode(h.Limits))
	if n.paces != nil {
		n.paces.RecordReports(now, host, pace.Decode(h.Paces))
	}
	if h.Regions != nil {
		n.balancer.Regions().RecordReport(now, host, region.Decode(*h.Regions))
	}
}

// handleFrame processes a frame from a peer and returns the response frame, nil for none.
func (n *Node) handleFrame(_ context.Context, from wire.Hello, f wire.Frame) *wire.Frame {
	n.peers.Receive(time.Now(), from, f)
	if f.Usage != nil && n.usage != nil {
		n.usage.Receive(*f.Usage)
	}
	return n.rates.Handle(f)
}

// handleMessage processes what another host has sent to all hosts.
func (n *Node) handleMessage(m wire.Relayed) {
	now := time.Now()
	if len(m.Evidence) > 0 {
		n.evidence.Merge(now, m.Evidence)
	}
	if m.Trip != nil {
		n.rolls.AddFault(*m.Trip)
	}
	if m.Strike != nil {
		n.poison.Strike(now, poison.Fingerprint(m.Strike.Fingerprint), ident.BackendServer(m.Strike.BackendServer))
	}
}

func (n *Node) broadcastStrike(p poison.Fingerprint, server ident.BackendServer) {
	n.peers.Broadcast(wire.Frame{Strike: &wire.Strike{Fingerprint: string(p), BackendServer: string(server)}})
}

// strikes returns the strikes that still count, to be handed over to another host.
func (n *Node) strikes() []wire.Strike {
	now := time.Now()
	return poison.Encode(now, n.poison.Losses(now))
}

// applyHandover takes over what another host knows, and returns what of it was new.
func (n *Node) applyHandover(h wire.Handover) wire.Handover {
	now := time.Now()
	return wire.Handover{Strikes: poison.Encode(now, n.poison.Merge(now, poison.Decode(now, h.Strikes)))}
}

// hostCount returns the number of hosts that share the limits of the fleet, including this one.
func (n *Node) hostCount() int { return 1 + n.peers.Count() }

// elected reports whether this host, and none of the peers, is elected for the subject.
func (n *Node) elected(subject string, peers []ident.Host) bool {
	self := ident.Host(n.settings.Name)
	return elect.Pick(subject, append(peers, self)) == self
}

// countingHosts returns the hosts of this host's region that count the requests of small teams: its active relays, which
// all hosts of the region are linked with.
func (n *Node) countingHosts() []ident.Host {
	return n.peers.Relays(time.Now(), ident.Region(n.settings.Region))
}

// countsTeam returns a function that reports whether this host counts a team's requests for its region.
func (n *Node) countsTeam() func(ident.Team) bool {
	hosts, self := n.countingHosts(), ident.Host(n.settings.Name)
	return func(team ident.Team) bool { return rates.CountingHost(team, hosts) == self }
}

// warmsUp returns a function that reports whether this host sends requests to a cold backend server.
func (n *Node) warmsUp(w *elect.Warmer) func(ident.BackendServer) bool {
	return func(server ident.BackendServer) bool { return !n.leaving.Load() && w.WarmsUp(time.Now(), server) }
}

// regionHosts returns the hosts of this host's region that hold a lease in the store.
func (n *Node) regionHosts() []ident.Host {
	var hosts []ident.Host
	for host, entry := range n.watch.Hosts() {
		if entry.Region == n.settings.Region {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func anyRegion(ident.Region) bool { return true }

// copySource returns the link address of the host whose copy of the store this host takes. It returns false if this host
// reads the store itself or has lost it. The failed address, if not empty, is left out.
func (n *Node) copySource(failed string) (string, bool) {
	if n.watch.StoreLost() {
		return "", false
	}
	for _, address := range n.peers.CopySources(time.Now()) {
		if address != failed {
			return address, true
		}
	}
	return "", false
}

// copyExpired reports whether this host's copy of the store must not be used, since a later one could be had.
func (n *Node) copyExpired() bool {
	return n.stale.Expired(time.Now(), n.watch.ConfirmedAt())
}

// logExpiry logs that the copy of the store is not used any more, or again.
func (n *Node) logExpiry() {
	expired := n.copyExpired()
	if n.expired.Swap(expired) == expired {
		return
	}
	attributes := []any{"age", n.watch.Age().Round(time.Millisecond), "revision", int64(n.watch.Revision())}
	if expired {
		n.log.Warn("copy of the store too old, refusing requests", attributes...)
		return
	}
	n.log.Info("copy of the store in use again", attributes...)
}

// directory returns the addresses that callers in a zone should connect to, and their TTL: the ready hosts of the zone,
// or of the region if the zone has none, or otherwise of all regions, up to maxDirectoryAddresses.
func (n *Node) directory(zone ident.AvailabilityZone, region ident.Region) ([]string, time.Duration) {
	now := time.Now()
	var all, inRegion, inZone []string
	add := func(z ident.AvailabilityZone, r ident.Region, address string) {
		all = append(all, address)
		if r == region {
			inRegion = append(inRegion, address)
		}
		if z == zone {
			inZone = append(inZone, address)
		}
	}
	if n.ready() {
		add(ident.AvailabilityZone(n.settings.Zone), ident.Region(n.settings.Region), n.settings.CallerAddress)
	}
	for _, p := range n.peers.Active(now) {
		if p.Heartbeat.Ready {
			add(p.Zone, p.Region, p.CallerAddress)
		}
	}
	ttl := min(directoryTTL, n.platform.DirectoryTTL)
	switch {
	case len(inZone) > 0:
		return inZone, ttl
	case len(inRegion) > 0:
		return inRegion, ttl
	}
	return all[:min(len(all), maxDirectoryAddresses)], ttl
}

// maxDirectoryAddresses limits the addresses in a response of the directory with hosts of all regions.
const maxDirectoryAddresses = 64
