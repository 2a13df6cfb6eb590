package node

import (
	"time"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/wire"
	"jayshift/io/edge"
)

// versions connects the choice of backend versions to the moves.
func (n *Node) versions() edge.Versions {
	return edge.Versions{
		Choose: func(service ident.Service, repeated bool) (canary.Choice, bool) {
			return n.rolls.Choose(time.Now(), service, repeated)
		},
		Proved: n.rolls.ChooseProved, Return: n.rolls.Return,
		MaySend: func(service ident.Service, c canary.Choice) bool { return n.rolls.MaySend(time.Now(), service, c) },
		Start:   func(s roster.Server, route ident.Route) { n.rolls.RecordStart(time.Now(), s, route) },
		End: func(s roster.Server, route ident.Route, result canary.Result, ratio float64) {
			n.rolls.RecordOutcome(time.Now(), s, route, result, ratio)
		},
		Drop:   func(s roster.Server, route ident.Route) { n.rolls.RecordDrop(time.Now(), s, route) },
		Refuse: func(service ident.Service) { n.rolls.RecordRefused(time.Now(), service) },
	}
}

// leadsMove reports whether this host is elected, among all active hosts, to write the stages of a service's move to
// another version.
func (n *Node) leadsMove(service ident.Service) bool {
	return !n.leaving.Load() && n.elected(string(service), n.peers.Hosts(time.Now(), anyRegion))
}

// otherVersionsDrained reports whether all active hosts have read the store up to the revision and run no requests on other
// versions of the service.
func (n *Node) otherVersionsDrained(service ident.Service, to ident.Version, revision ident.Revision) bool {
	if n.edge.RunningExcept(service, to) > 0 {
		return false
	}
	for _, p := range n.peers.Active(time.Now()) {
		if ident.Revision(p.Heartbeat.Revision) < revision || p.Heartbeat.Old[string(service)] > 0 {
			return false
		}
	}
	return true
}

// trialHost returns this host as it stands on the lists of trials.
func (n *Node) trialHost() wire.TrialHost {
	return wire.TrialHost{Host: n.settings.Name, Incarnation: int(n.startedAt.UnixMilli())}
}

// trialHosts returns the hosts that are registered in the store, and this one. Heartbeats are no measure: a host that has just
// started hears none.
func (n *Node) trialHosts() []wire.TrialHost {
	self := n.trialHost()
	list := []wire.TrialHost{self}
	for host, edge := range n.watch.Hosts() {
		if string(host) != self.Host {
			list = append(list, wire.TrialHost{Host: string(host), Incarnation: edge.Incarnation})
		}
	}
	return list
}

// peerVersion returns the version that active peers take for the proved one of the service, the one that most of them name.
func (n *Node) peerVersion(service ident.Service) (ident.Version, bool) {
	counts := map[ident.Version]int{}
	var best ident.Version
	for _, p := range n.peers.Active(time.Now()) {
		version := ident.Version(p.Heartbeat.Versions[string(service)])
		if version == "" {
			continue
		}
		counts[version]++
		if counts[version] > counts[best] || counts[version] == counts[best] && version < best {
			best = version
		}
	}
	return best, best != ""
}
