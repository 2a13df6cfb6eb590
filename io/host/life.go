package host

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// SetGrace replaces the time for which a stopping host still takes new requests, for tests.
func (h *Host) SetGrace(d time.Duration) { h.grace = d }

// Run serves until Stop is called or the process is told to stop.
func (h *Host) Run() error {
	go h.Feed.Run(h.ctx)
	go h.Member.Run(h.ctx)
	go h.Loans.Run(h.ctx)
	go h.Moves.Run(h.ctx)
	go h.reportLoop(h.ctx)
	h.log.Info("host started", "host", h.settings.Name, "caller", h.settings.CallerAddress, "operator", h.settings.OperatorAddress)
	err := h.app.Run()
	h.close()
	return merry.Wrap(err)
}

// Stop leaves steering, lets requests end, hands back what was borrowed, and ends Run.
func (h *Host) Stop() error { return h.app.Stop() }

// Kill ends everything at once, as a crash would, for tests.
func (h *Host) Kill() {
	h.cancel()
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.Mesh.Close()
}

func (h *Host) beforeStop(context.Context) error {
	h.log.Info("host stopping", "host", h.settings.Name)
	h.Entry.Drain()
	h.Member.SendHeartbeats(h.ctx)
	ctx, cancel := context.WithTimeout(h.ctx, h.settings.DrainTimeout)
	defer cancel()
	select {
	case <-time.After(h.grace):
	case <-ctx.Done():
	}
	if !h.Entry.WaitIdle(ctx) {
		h.log.Warn("requests still running at the drain limit", "host", h.settings.Name)
	}
	h.Loans.GiveBackAll(ctx)
	handedOver := h.runs.HandOver(ctx)
	leave, cancelLeave := context.WithTimeout(h.ctx, leaveLimit)
	defer cancelLeave()
	if err := h.Member.Leave(leave, handedOver); err != nil {
		h.log.Warn("seat not given up", "error", err.Error())
	}
	return nil
}

func (h *Host) close() {
	h.cancel()
	h.Mesh.Close()
	h.Pool.Close()
	h.log.Info("host stopped", "host", h.settings.Name)
}
