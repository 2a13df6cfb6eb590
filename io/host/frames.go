package host

import (
	"context"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/poison"
	"jayshift/core/route"
	"jayshift/core/wire"
	"jayshift/io/pulse"
)

const (
	pullTimeout   = 3 * time.Second
	reportPeriod  = 1 * time.Second
	strikeTimeout = 300 * time.Millisecond
)

// handle answers one frame from a peer.
func (h *Host) handle(ctx context.Context, peer wire.Hello, f wire.Frame) *wire.Frame {
	from := ident.Host(peer.Host)
	now := time.Now()
	switch {
	case f.Heartbeat != nil:
		return h.Member.HandleHeartbeat(peer, f.Heartbeat)
	case f.LoanAsk != nil:
		return h.Loans.Lend(ctx, from, f.LoanAsk)
	case f.LoanReturn != nil:
		h.Loans.Returned(from, f.LoanReturn)
		return &wire.Frame{}
	case f.Record != nil:
		return &wire.Frame{RecordAnswer: h.runs.Serve(f.Record)}
	case f.Pull != 0:
		delta := h.Feed.Delta(ident.Revision(f.Pull - 1))
		return &wire.Frame{Delta: &delta}
	case f.Strike != nil:
		h.poison.Strike(now, poison.Fingerprint(f.Strike.Fingerprint), ident.BackendServer(f.Strike.BackendServer))
		return &wire.Frame{}
	case f.Trip != nil:
		h.Moves.Trip(*f.Trip)
	case len(f.Evidence) > 0:
		h.evidence.Merge(now, f.Evidence)
	case len(f.Notices) > 0:
		h.notices(now, f.Notices)
	}
	return nil
}

// onLink asks a newly linked peer for its configuration, in case the store is out.
func (h *Host) onLink(peer wire.Hello) {
	if !h.Feed.Loaded() {
		h.pull(ident.Host(peer.Host))
	}
}

// pull gets the changes that a peer has and this host does not.
func (h *Host) pull(peer ident.Host) {
	ctx, cancel := context.WithTimeout(h.ctx, pullTimeout)
	defer cancel()
	// One is added so that revision zero, for everything, is told apart from no pull.
	answer, err := h.Mesh.Call(ctx, peer, wire.Frame{Pull: int(h.Feed.Snapshot().Revision) + 1})
	if err != nil || answer.Delta == nil || answer.Delta.Revision == 0 {
		return
	}
	if err := h.Feed.ApplyDelta(*answer.Delta); err != nil {
		h.log.Warn("peer's configuration not taken", "peer", string(peer), "error", err.Error())
	}
}

// strike tells all peers that a backend server was lost to a request, and waits a short while until they know, since
// the caller's next try may reach any of them.
func (h *Host) strike(p poison.Fingerprint, server ident.BackendServer) {
	ctx, cancel := context.WithTimeout(h.ctx, strikeTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, host := range h.Mesh.LinkedHosts() {
		told.Go(func() {
			f := wire.Frame{Strike: &wire.Strike{Fingerprint: string(p), BackendServer: string(server)}}
			if _, err := h.Mesh.Call(ctx, host, f); err != nil {
				h.log.Warn("peer not told of a lost backend server", "peer", string(host), "error", err.Error())
			}
		})
	}
	told.Wait()
}

// reportLoop reads the load of the backend servers whose slots this host hands out, and tells the peers.
func (h *Host) reportLoop(ctx context.Context) {
	pulse.Every(ctx, reportPeriod, func() { h.report(ctx) })
}

func (h *Host) report(ctx context.Context) {
	type result struct {
		name   ident.BackendServer
		report route.LoadReport
		err    error
	}
	names := h.Book.AllocatedServers()
	results := make(chan result, len(names))
	for _, name := range names {
		go func() {
			r, err := h.Pool.Ask(ctx, name)
			results <- result{name, r, err}
		}()
	}
	var notices []wire.Notice
	for range names {
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

func (h *Host) notices(now time.Time, list []wire.Notice) {
	for _, n := range list {
		h.Pool.SetReport(ident.BackendServer(n.BackendServer), route.LoadReport{InFlight: n.InFlight, Slots: n.Slots, Leaving: n.Leaving, ReceivedAt: now})
	}
}
