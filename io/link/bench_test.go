package link_test

import (
	"testing"

	"jayshift/core/wire"
	"jayshift/io/link"
)

// BenchmarkFrame encodes and decodes the frames that hosts exchange most often, and a delta that changes one team.
// It reports the size of each encoded frame in bytes as B-frame.
func BenchmarkFrame(b *testing.B) {
	for name, f := range map[string]wire.Frame{
		"heartbeat": {Call: 70_000, Incarnation: 1_796_351_236_144, Sequence: 900_000, Heartbeat: &wire.Heartbeat{Revision: 90_000, Generation: 900, InFlight: 50, Headroom: 0.9}},
		"ack":       {Call: 70_000, Answer: true, Incarnation: 1_796_351_236_144, Sequence: 900_000, HeartbeatAck: &wire.HeartbeatAck{Incarnation: 1_796_351_236_144}},
		"loan-ask":  {Call: 70_000, Incarnation: 1_796_351_236_144, Sequence: 900_000, LoanAsk: &wire.LoanAsk{Quantity: "team/works-council", Tokens: 1_000_000, Burst: 1_000_000, TermMs: 400}},
		"grant":     {Call: 70_000, Answer: true, Incarnation: 1_796_351_236_144, Sequence: 900_000, LoanGrant: &wire.LoanGrant{Quantity: "team/works-council", Sequence: 9000, Tokens: 1_000_000, Burst: 1_000_000}},
		"delta": {Call: 70_000, Answer: true, Incarnation: 1_796_351_236_144, Sequence: 900_000, Delta: &wire.Delta{Base: 89_999, Revision: 90_000, Resources: []wire.Resource{
			{Kind: "team", Name: "works-council", Revision: 90_000, Created: 90, Team: &wire.Team{Rate: 40, Burst: 20, Parts: 10}},
		}}},
	} {
		b.Run(name, func(b *testing.B) {
			data, err := link.Encode(&f)
			if err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				data, _ = link.Encode(&f)
				_, _ = link.Decode(data)
			}
			b.ReportMetric(float64(len(data)), "B-frame")
		})
	}
}
