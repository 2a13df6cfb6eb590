package share_test

import (
	"testing"
	"time"

	"jayshift/core/seat"
	"jayshift/core/share"
)

// BenchmarkTake takes tokens from one share of a registry, as each request does for its team.
func BenchmarkTake(b *testing.B) {
	now := time.Now()
	reg := share.NewRegistry("h", time.Second)
	t := seat.NewTable()
	for i := range t.Partitions {
		t.Partitions[i].Owner = "h"
	}
	reg.SetTable(now, t, 1)
	q := share.TeamQuantity("north")
	reg.SetLimits(now, []share.Limit{{Quantity: q, Rate: share.Micro(1e9), Burst: share.Micro(1e6), Parts: 64, Created: 2}})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			reg.WithRate(q, func(r *share.Rate) { r.Take(time.Now(), share.Unit, true) })
		}
	})
}
