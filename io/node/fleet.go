package node

import (
	"context"
	"time"

	"jayshift/core/elect"
	"jayshift/core/ident"
	"jayshift/core/poison"
	"jayshift/core/quota"
	"jayshift/core/roster"
	"jayshift/core/wire"
)

// directoryLife is how long callers may keep an answer of the directory.
const directoryLife = 2 * time.Second

// ready tells whether the host takes new callers.
func (n *Node) ready() bool { return n.watch.Loaded() && !n.leaving.Load() }

func (n *Node) heartbeat() wire.EdgeHeartbeat {
	names, sum := n.quota.TeamNames()
	h := wire.EdgeHeartbeat{
		Ready: n.ready(), Leaving: n.leaving.Load(), Reads: !n.watch.StoreLost(), Revision: int(n.watch.Revision()),
		Teams: sum, Uses: quota.Encode(names, n.quota.ReportUsage(time.Now())),
	}
	if t := n.watch.Table(); t != nil {
		h.Version = int(t.Version)
	}
	for _, order := range n.watch.Orders() {
		if to, moving := n.rolls.MoveTarget(order.Service); moving {
			if h.Old == nil {
				h.Old = wire.EdgeHeartbeatOld{}
			}
			h.Old[string(order.Service)] = n.edge.Running(order.Service, to)
		}
	}
	return h
}

// heard takes in what a peer states of the teams; while the two hosts know different teams, that it lives.
func (n *Node) heard(host ident.Host, h wire.EdgeHeartbeat) {
	names, sum := n.quota.TeamNames()
	if h.Teams != sum {
		names = nil
	}
	n.quota.RecordPeerUsage(time.Now(), host, quota.Decode(names, h.Uses))
}

// handle takes in a frame from a peer.
func (n *Node) handle(_ context.Context, from wire.Hello, f wire.Frame) *wire.Frame {
	now := time.Now()
	if f.EdgeHeartbeat != nil {
		n.peers.Take(now, from, *f.EdgeHeartbeat)
	}
	if len(f.Evidence) > 0 {
		n.evidence.Merge(now, f.Evidence)
	}
	if f.Trip != nil {
		n.rolls.AddFault(*f.Trip)
	}
	if f.Strike != nil {
		n.poison.Strike(now, poison.Fingerprint(f.Strike.Fingerprint), ident.BackendServer(f.Strike.BackendServer))
	}
	return n.rates.Answer(f)
}

func (n *Node) strike(p poison.Fingerprint, server ident.BackendServer) {
	n.mesh.Broadcast(wire.Frame{Strike: &wire.Strike{Fingerprint: string(p), BackendServer: string(server)}})
}

func (n *Node) judge(s roster.Server, route ident.Route, failed bool, ratio float64) {
	n.rolls.RecordOutcome(time.Now(), s, route, failed, ratio)
}

// hosts returns how many hosts share what is counted across the fleet.
func (n *Node) hosts() int { return 1 + n.peers.Count() }

// warms tells whether this host is the one that sends requests to a cold backend server: the first of the hosts in the
// server's region, or of all when none is there.
func (n *Node) warms(server ident.BackendServer) bool { return n.first(string(server), n.near()) }

// leads tells whether this host states the steps of a service's move.
func (n *Node) leads(service ident.Service) bool {
	return !n.leaving.Load() && n.first(string(service), n.peers.Hosts(time.Now(), anyRegion))
}

// first tells whether this host comes before the peers for a subject.
func (n *Node) first(subject string, peers []ident.Host) bool {
	self := ident.Host(n.settings.Name)
	return elect.Pick(subject, append(peers, self)) == self
}

// near returns the live peers in this host's region.
func (n *Node) near() []ident.Host {
	return n.peers.Hosts(time.Now(), func(r ident.Region) bool { return string(r) == n.settings.Region })
}

func anyRegion(ident.Region) bool { return true }

// settled tells whether all hosts know the store up to the revision, and run nothing on other versions of the service.
func (n *Node) settled(service ident.Service, to ident.Version, revision ident.Revision) bool {
	if n.edge.Running(service, to) > 0 {
		return false
	}
	for _, p := range n.peers.Alive(time.Now()) {
		if ident.Revision(p.State.Revision) < revision || p.State.Old[string(service)] > 0 {
			return false
		}
	}
	return true
}

// reader returns the link address of the host that reads the store for this host's region; false when it is this one.
func (n *Node) reader() (string, bool) {
	if n.watch.StoreLost() {
		return "", false
	}
	best, address := ident.Host(n.settings.Name), ""
	for _, p := range n.peers.Alive(time.Now()) {
		if string(p.Region) == n.settings.Region && p.State.Reads && p.Host < best {
			best, address = p.Host, p.Link
		}
	}
	return address, address != ""
}

// directory returns the hosts that callers of a zone should use: those of the zone, else of the region, else all.
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
	for _, p := range n.peers.Alive(now) {
		if p.State.Ready {
			add(p.Zone, p.Region, p.Caller)
		}
	}
	life := min(directoryLife, n.platform.AnswerLife)
	switch {
	case len(inZone) > 0:
		return inZone, life
	case len(inRegion) > 0:
		return inRegion, life
	}
	return all[:min(len(all), mostAddresses)], life
}

// mostAddresses is how many addresses an answer of the directory may hold.
const mostAddresses = 64
