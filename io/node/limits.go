package node

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/rest"
	"jayshift/core/wire"
)

// updateLimits passes the active hosts and the known backend servers on to the limits that servers have named.
func (n *Node) updateLimits(now time.Time) {
	var hosts []limit.Host
	if !n.leaving.Load() {
		hosts = append(hosts, limit.Host{Name: ident.Host(n.settings.Name), Region: ident.Region(n.settings.Region)})
	}
	for _, p := range n.peers.Active(now) {
		hosts = append(hosts, limit.Host{Name: p.Host, Region: p.Region})
	}
	n.limits.SetHosts(now, hosts)
	n.limits.Retain(now, n.watch.HasServer)
}

// limitReports returns the limits that this host has seen in answers, for its heartbeat.
func (n *Node) limitReports(now time.Time) []wire.LimitReport {
	return limit.Encode(n.limits.Reports(now))
}

// logLimit logs that a backend server names another limit than before, zero for none, and which host has seen it.
func (n *Node) logLimit(server ident.BackendServer, rate limit.Rate, from ident.Host) {
	limit.Log(n.log, server, rate, from)
}

// maxRestLines limits the log lines about rests per second.
const maxRestLines = 10

// logRest logs that a backend server has asked this host to send it nothing until a time.
func (n *Node) logRest(server rest.Server, end time.Time) {
	n.meter.RecordRest()
	ok, omitted := n.restLines.Allow(time.Now(), "rest")
	if !ok {
		return
	}
	n.log.Info("backend server asked for rest", "backend-server", string(server.ID), "for", time.Until(end).Round(time.Millisecond), "omitted", omitted)
}
