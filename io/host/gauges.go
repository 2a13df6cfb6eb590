package host

import (
	"time"

	"jayshift/core/burn"
	"jayshift/io/entry"
)

// count takes in the end of one request for the metrics and the burn.
func (h *Host) count(s entry.Sample) {
	h.meter.RecordRequest(s)
	if s.CountsForSLO() {
		h.burn.Add(time.Now(), burn.Series{Service: string(s.Service), Team: string(s.Team), Shift: string(s.Shift)}, s.Bad())
	}
}

func (h *Host) gauges() error {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"jayshift.config.revision", "Configuration revision in force.", func() float64 { return float64(h.Feed.Snapshot().Revision) }},
		{"jayshift.seats", "Seats in the table.", func() float64 { return float64(len(h.Member.Table().Seats)) }},
		{"jayshift.serving.left", "Time for which the host may still serve without new contact, in seconds.", h.servingLeft},
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
	return h.meter.RegisterBurn(h.burn)
}

func (h *Host) servingLeft() float64 {
	now := time.Now()
	return max(0, h.Member.Lease().Deadline(now).Sub(now).Seconds())
}
