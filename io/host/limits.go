package host

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/rest"
)

// limitReports passes the live hosts and the configured backend servers on to the limits that servers have named, and
// returns those that this host has seen in answers, for its heartbeat.
func (h *Host) limitReports(now time.Time) []limit.Report {
	h.limits.SetHosts(now, h.Member.ActiveHosts())
	h.limits.Retain(now, func(server ident.BackendServer, _ int64) bool { return h.Pool.Has(server) })
	return h.limits.Reports(now)
}

// logLimit logs that a backend server names another limit than before, zero for none, and which host has seen it.
func (h *Host) logLimit(server ident.BackendServer, rate limit.Rate, from ident.Host) {
	limit.Log(h.log, server, rate, from)
}

// logRest logs that a backend server has asked this host to send it nothing until a time.
func (h *Host) logRest(server rest.Server, end time.Time) {
	h.log.Info("backend server asked for rest", "backend-server", string(server.ID), "for", time.Until(end).Round(time.Millisecond))
}
