package host

import (
	"context"
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/poison"
	"jayshift/core/rest"
	"jayshift/core/route"
	"jayshift/core/wire"
	"jayshift/io/ticker"
)

const (
	pullTimeout        = 3 * time.Second
	loadReportInterval = 1 * time.Second
	strikeTimeout      = 300 * time.Millisecond
)

// handle handles one frame from a peer and returns the answer, or nil if the frame needs none.
func (h *Host) handle(ctx context.Context, peer wire.Hello, f wire.Frame) *wire.Frame {
	sender := ident.Host(peer.Host)
	now := time.Now()
	switch {
	case f.Heartbeat != nil:
		return h.Member.HandleHeartbeat(peer, f.Heartbeat)
	case f.LoanAsk != nil:
		return h.Loans.Lend(ctx, sender, f.LoanAsk)
	case f.LoanReturn != nil:
		h.Loans.AcceptReturn(sender, f.LoanReturn)
		return &wire.Frame{}
	case f.Record != nil:
		return &wire.Frame{RecordAnswer: h.runs.Handle(f.Record)}
	case f.Pull != 0:
		delta := h.Feed.Delta(ident.Revision(f.Pull - 1))
		return &wire.Frame{Delta: &delta}
	case f.Strike != nil:
		h.poison.Strike(now, poison.Fingerprint(f.Strike.Fingerprint), ident.BackendServer(f.Strike.BackendServer))
		return &wire.Frame{}
	case f.Handover != nil:
		h.poison.Merge(now, poison.Decode(now, f.Handover.Strikes))
	case f.Trip != nil:
		h.Moves.AddFault(*f.Trip)
	case len(f.Evidence) > 0:
		h.evidence.Merge(now, f.Evidence)
	case len(f.Notices) > 0:
		h.applyNotices(now, f.Notices)
	}
	return nil
}

// handleLinkOpened hands a newly linked peer the strikes that it may not know. It pulls the configuration from the peer if this host
// has loaded none yet, for example because the store is unavailable.
func (h *Host) handleLinkOpened(peer wire.Hello) {
	now := time.Now()
	if losses := h.poison.Losses(now); len(losses) > 0 {
		_ = h.Mesh.Send(ident.Host(peer.Host), wire.Frame{Handover: &wire.Handover{Strikes: poison.Encode(now, losses)}})
	}
	if !h.Feed.Loaded() {
		h.pullConfig(ident.Host(peer.Host))
	}
}

// pullConfig requests the configuration changes since this host's revision from a peer and applies them.
func (h *Host) pullConfig(peer ident.Host) {
	ctx, cancel := context.WithTimeout(h.ctx, pullTimeout)
	defer cancel()
	// The revision is sent plus one, because a frame with Pull zero requests nothing, and revision zero requests
	// the whole configuration.
	answer, err := h.Mesh.Call(ctx, peer, wire.Frame{Pull: int(h.Feed.Snapshot().Revision) + 1})
	if err != nil || answer.Delta == nil || answer.Delta.Revision == 0 {
		return
	}
	if err := h.Feed.ApplyDelta(*answer.Delta); err != nil {
		h.log.Warn("configuration from peer not applied", "peer", string(peer), "error", err.Error())
	}
}

// reportStrike reports to all linked peers that a backend server was lost while it ran a request. It waits for their
// answers, at most strikeTimeout, because the caller's next attempt may reach any of them.
func (h *Host) reportStrike(fp poison.Fingerprint, server ident.BackendServer) {
	ctx, cancel := context.WithTimeout(h.ctx, strikeTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, host := range h.Mesh.LinkedHosts() {
		wg.Go(func() {
			f := wire.Frame{Strike: &wire.Strike{Fingerprint: string(fp), BackendServer: string(server)}}
			if _, err := h.Mesh.Call(ctx, host, f); err != nil {
				h.log.Warn("strike not reported to peer", "peer", string(host), "error", err.Error())
			}
		})
	}
	wg.Wait()
}

// loadReportLoop calls reportLoad every loadReportInterval until the context ends.
func (h *Host) loadReportLoop(ctx context.Context) {
	ticker.Every(ctx, loadReportInterval, func() { h.reportLoad(ctx) })
}

// reportLoad reads the load reports of the backend servers whose slots this host allocates and sends them to the linked
// peers. Servers that rest are not asked.
func (h *Host) reportLoad(ctx context.Context) {
	type result struct {
		name   ident.BackendServer
		report route.LoadReport
		err    error
	}
	now := time.Now()
	servers := slices.DeleteFunc(h.Shares.AllocatedServers(), func(name ident.BackendServer) bool {
		_, resting := h.rests.End(now, rest.Server{ID: name})
		return resting
	})
	results := make(chan result, len(servers))
	for _, name := range servers {
		go func() {
			r, err := h.Pool.FetchReport(ctx, name)
			results <- result{name, r, err}
		}()
	}
	var notices []wire.Notice
	for range servers {
		r := <-results
		if r.err != nil {
			continue
		}
		h.Pool.SetReport(r.name, r.report)
		notices = append(notices, wire.Notice{
			BackendServer: string(r.name), InFlight: r.report.InFlight, Slots: r.report.Slots, Leaving: r.report.Leaving,
		})
	}
	if len(notices) > 0 {
		h.Mesh.Broadcast(wire.Frame{Notices: notices})
	}
}

// applyNotices stores the load reports that a peer read from backend servers.
func (h *Host) applyNotices(now time.Time, list []wire.Notice) {
	for _, n := range list {
		h.Pool.SetReport(ident.BackendServer(n.BackendServer), route.LoadReport{InFlight: n.InFlight, Slots: n.Slots, Leaving: n.Leaving, ReceivedAt: now})
	}
}
