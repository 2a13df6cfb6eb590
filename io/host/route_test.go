package host_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
	"jayshift/io/load"
)

// TestRouting prints latency and refusals of a fleet of today's size, 9 hosts and 48 backend servers, at several parts of
// the capacity of the slots, when JAYSHIFT_MEASURE is set. One backend server in eight is four times slower.
func TestRouting(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	is := is.New(t)
	const slots, latency = 4, 60 * time.Millisecond
	act := fake.Behaviour{Slots: slots, Latency: latency, Shed: true}
	o := fleet.Options{Hosts: 9, Regions: 3}
	for _, name := range []string{"records", "handovers", "claims", "audio"} {
		o.Services = append(o.Services, fleet.Service{Name: name, Versions: []string{"v1"}, BackendsPerVersion: 12, Behaviour: act, DeadlineMs: 3000})
	}
	f, key, _ := start(t, o, wire.Resource{Kind: "team", Name: "other", Team: &wire.Team{Rate: 1, Burst: 1}})
	slow, capacity := 0, 0.0
	for _, b := range f.Backends {
		each := latency
		if slow++; slow%8 == 0 {
			each *= 4
			b.UpdateBehaviour(func(b *fake.Behaviour) { b.Latency = each })
		}
		capacity += slots / each.Seconds()
	}
	for _, part := range []float64{0.3, 0.5, 0.7, 0.85} {
		result := load.Run(context.Background(), load.Plan{
			Seed: 3, Duration: 8 * time.Second, WarmUp: 2 * time.Second, Entries: f.Entries,
			Teams: []load.Team{{Name: "north", Key: key, OfferedRate: capacity * part}},
			Paths: []string{"/records", "/handovers", "/claims", "/audio"},
		})
		n := result.Teams["north"]
		_, _, over := f.Totals()
		t.Logf("offered %.0f/s, %.0f%% of the slots: answered %d of %d, busy %d, unknown %d, p50 %.1f ms p99 %.1f ms, beyond slots %d",
			capacity*part, 100*part, n.Answered, n.Offered, n.NotRun, n.Unknown,
			float64(n.Latency.ValueAtQuantile(50))/1000, float64(n.Latency.ValueAtQuantile(99))/1000, over)
		is.Equal(over, 0)
	}
}
