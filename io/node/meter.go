package node

import (
	"time"

	"jayshift/core/budget"
	"jayshift/io/meter"
	"jayshift/io/serve"
)

// newMeter returns the host's metrics, including gauges whose values are read when the metrics are collected.
func (n *Node) newMeter() (*meter.Edge, error) {
	m, err := meter.NewEdge()
	if err != nil {
		return nil, err
	}
	for _, g := range []struct {
		name, help string
		read       func() float64
	}{
		{"jayshift.edge.in.flight", "Requests that run.", func() float64 { return float64(n.edge.InFlight()) }},
		{"jayshift.edge.waiting", "Requests that wait for room at the backend servers.", n.waitingRequests},
		{"jayshift.edge.services.limited", "Services that requests are sent to at a limited rate, since their servers are overloaded.", n.limitedServices},
		{"jayshift.edge.connections", "Connections of callers.", func() float64 { return float64(n.callerServer.Connections()) }},
		{"jayshift.edge.connections.reclaimed", "Idle connections of callers closed for new ones.", n.reclaimedConnections},
		{"jayshift.edge.connections.turned.away", "New connections of callers closed while all were in use.", n.turnedAwayConnections},
		{"jayshift.edge.opened", "Connections opened to backend servers.", func() float64 { return float64(n.pool.Opened()) }},
		{"jayshift.edge.configuration", "Version of the configuration in force.", n.configVersion},
		{"jayshift.edge.revision", "Store revision up to which all changes are known.", func() float64 { return float64(n.watch.Revision()) }},
		{"jayshift.edge.store.lost", "1 while the store does not answer.", func() float64 { return boolToFloat(n.watch.StoreLost()) }},
		{"jayshift.edge.state.age", "Seconds since what is known of the store was last complete.", func() float64 { return n.watch.Age().Seconds() }},
		{"jayshift.edge.quota.part", "Mean part of the teams' rates that this host may use.", func() float64 { return n.quota.MeanShare() }},
		{"jayshift.edge.servers", "Backend servers that may be used.", func() float64 { return float64(len(n.watch.Servers())) }},
		{"jayshift.edge.servers.resting", "Backend servers that have asked this host to send them nothing.", func() float64 { return float64(n.rests.Resting(time.Now())) }},
		{"jayshift.edge.usage.holder", "1 while this host holds the duty to report the usage.", n.holdsUsageDuty},
		{"jayshift.edge.home.share", "Share of the requests that is to run in this host's region.", func() float64 { return n.balancer.Regions().HomeShare() }},
		{"jayshift.edge.home.plan", "Maximum of that share by the plan of the regions, 1 without one.", n.homePlan},
		{"jayshift.edge.servers.slow", "Backend servers that run requests slowly, by what all hosts have observed.", func() float64 { return float64(n.paceSummary().Slow) }},
		{"jayshift.edge.servers.limited", "Backend servers that get fewer requests at a time than they have slots.", func() float64 { return float64(n.paceSummary().Limited) }},
		{"jayshift.edge.servers.reported", "Backend servers of which peers have told their pace.", func() float64 { return float64(n.paceSummary().Reported) }},
		{"jayshift.edge.peers", "Peers with a fresh heartbeat.", func() float64 { return float64(len(n.peers.Active(time.Now()))) }},
	} {
		if err := m.RegisterGauge(g.name, g.help, g.read); err != nil {
			return nil, err
		}
	}
	for _, g := range serve.MemoryGauges("jayshift.edge.", func() *budget.Budget { return n.memory }) {
		if err := m.RegisterGauge(g.Name, g.Help, g.Read); err != nil {
			return nil, err
		}
	}
	return m, nil
}

func (n *Node) waitingRequests() float64 {
	requests, _ := n.edge.Waiting()
	return float64(requests)
}

func (n *Node) limitedServices() float64 {
	_, limited := n.edge.Waiting()
	return float64(limited)
}

func (n *Node) reclaimedConnections() float64 {
	idle, _ := n.callerServer.Reclaimed()
	return float64(idle)
}

func (n *Node) turnedAwayConnections() float64 {
	_, turnedAway := n.callerServer.Reclaimed()
	return float64(turnedAway)
}

func (n *Node) configVersion() float64 {
	if t := n.watch.Table(); t != nil {
		return float64(t.Version)
	}
	return 0
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
