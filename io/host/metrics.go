package host

import (
	"time"

	"jayshift/core/budget"
	"jayshift/core/burn"
	"jayshift/io/entry"
	"jayshift/io/serve"
)

// recordSample records a completed request for the metrics. It also records it for the burn rate if the request counts
// towards the service level objective.
func (h *Host) recordSample(s entry.Sample) {
	h.meter.RecordRequest(s)
	if s.CountsForSLO() {
		h.burn.Add(time.Now(), burn.Series{Service: string(s.Service), Team: string(s.Team), Shift: string(s.Shift)}, s.Bad())
	}
}

// registerGauges registers the host's gauges and the burn rate with the meter.
func (h *Host) registerGauges() error {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"jayshift.config.revision", "Configuration revision in force.", func() float64 { return float64(h.Feed.Snapshot().Revision) }},
		{"jayshift.seats", "Seats in the table.", func() float64 { return float64(len(h.Member.Table().Seats)) }},
		{"jayshift.serving.left", "Time for which the host may still serve without new contact, in seconds.", h.servingSecondsLeft},
		{"jayshift.store.calls", "Calls made to the platform's store.", func() float64 { return float64(h.Store.Calls()) }},
		{"jayshift.link.bytes", "Bytes sent to other hosts.", func() float64 { n, _ := h.Mesh.Sent(); return float64(n) }},
		{"jayshift.loans.asked", "Loans asked for.", func() float64 { return float64(h.Loans.AsksSent()) }},
		{"jayshift.requests.running", "Requests running.", func() float64 { n, _, _ := h.Entry.Load(); return float64(n) }},
	}
	for _, g := range gauges {
		if err := h.meter.RegisterGauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	for _, g := range serve.MemoryGauges("jayshift.", func() *budget.Budget { return h.memory }) {
		if err := h.meter.RegisterGauge(g.Name, g.Help, g.Read); err != nil {
			return err
		}
	}
	return h.meter.RegisterBurn(h.burn)
}

// servingSecondsLeft returns the time until the serving lease ends, in seconds, or zero if it has ended.
func (h *Host) servingSecondsLeft() float64 {
	now := time.Now()
	return max(0, h.Member.Lease().Deadline(now).Sub(now).Seconds())
}
