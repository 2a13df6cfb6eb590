package host

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/io/serve"
)

// SetGracePeriod sets how long a stopping host still accepts new requests. It is for tests.
func (h *Host) SetGracePeriod(d time.Duration) { h.gracePeriod = d }

// Run serves until Stop is called or the process receives a termination signal, and then releases all resources.
func (h *Host) Run() error {
	go h.Feed.Run(h.ctx)
	go h.Member.Run(h.ctx)
	go h.Loans.Run(h.ctx)
	go h.Moves.Run(h.ctx)
	go h.loadReportLoop(h.ctx)
	go serve.WatchMemory(h.ctx, h.memory, h.log)
	h.log.Info("host started", "host", h.settings.Name, "caller", h.settings.CallerAddress, "operator", h.settings.OperatorAddress)
	err := h.app.Run()
	h.close()
	return merry.Wrap(err)
}

// Stop removes the host from steer responses, waits for running requests, returns loans, hands run records over to
// other hosts, releases the seat, and ends Run.
func (h *Host) Stop() error { return h.app.Stop() }

// Kill closes all servers and links at once, as a crash would. It is for tests.
func (h *Host) Kill() {
	h.cancel()
	for _, s := range h.httpServers {
		_ = s.Close()
	}
	h.Mesh.Close()
}

// beforeStop drains the host before its servers close. Within DrainTimeout it accepts requests for the grace period,
// waits for the running ones, returns the loans and hands over the run records. Then it releases the seat, within
// leaveTimeout.
func (h *Host) beforeStop(context.Context) error {
	h.log.Info("host stopping", "host", h.settings.Name)
	end := time.Now().Add(h.settings.DrainTimeout)
	h.Entry.Drain(end)
	h.Member.SendHeartbeats(h.ctx)
	ctx, cancel := context.WithDeadline(h.ctx, end)
	defer cancel()
	select {
	case <-time.After(h.gracePeriod):
	case <-ctx.Done():
	}
	if !h.Entry.WaitIdle(ctx) {
		h.log.Warn("requests still running at the drain limit", "host", h.settings.Name)
	}
	h.Loans.ReturnAll(ctx)
	handedOver := h.runs.HandOver(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(h.ctx, leaveTimeout)
	defer cancelLeave()
	if err := h.Member.Leave(leaveCtx, handedOver); err != nil {
		h.log.Warn("seat not released", "error", err.Error())
	}
	return nil
}

// close stops the background loops and closes the links and the connections to backend servers.
func (h *Host) close() {
	h.cancel()
	h.Mesh.Close()
	h.Pool.Close()
	h.log.Info("host stopped", "host", h.settings.Name)
}
