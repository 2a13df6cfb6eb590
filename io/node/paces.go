package node

import (
	"context"
	"time"

	"jayshift/core/pace"
	"jayshift/core/wire"
	"jayshift/io/ticker"
)

// paceLogInterval is the interval between two log lines about the pace of backend servers.
const paceLogInterval = time.Second

// logPaces logs periodically which backend servers differ from the usual pace, until ctx ends.
func (n *Node) logPaces(ctx context.Context) {
	if n.paces != nil {
		ticker.Every(ctx, paceLogInterval, func() { n.paces.Log(n.log) })
	}
}

// paceReports returns what this host has observed of the pace of backend servers, for its heartbeat.
func (n *Node) paceReports(now time.Time) []wire.PaceReport {
	if n.paces == nil {
		return nil
	}
	n.paces.SetHosts(n.hostCount())
	n.paces.Retain(n.watch.HasServer)
	return pace.Encode(n.paces.Reports(now))
}

// paceSummary returns how many backend servers differ from the usual pace.
func (n *Node) paceSummary() pace.Summary {
	if n.paces == nil {
		return pace.Summary{}
	}
	return n.paces.Summary()
}
