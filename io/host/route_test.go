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

// TestRouting prints the latency and refusals of a fleet of the size of the current deployment, 9 hosts and 48 backend
// servers, at several loads relative to the capacity of the slots. One backend server in eight is four times slower. It
// runs only if JAYSHIFT_MEASURE is set.
func TestRouting(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	is := is.New(t)
	const slots, latency = 4, 60 * time.Millisecond
	behaviour := fake.Behaviour{Slots: slots, Latency: latency, Shed: true}
	o := fleet.Options{Hosts: 9, Regions: 3}
	for _, name := range []string{"records", "handovers", "claims", "audio"} {
		o.Services = append(o.Services, fleet.Service{Name: name, Versions: []string{"v1"}, BackendsPerVersion: 12, Behaviour: behaviour, DeadlineMs: 3000})
	}
	f, key, _ := startFleet(t, o, wire.Resource{Kind: "team", Name: "other", Team: &wire.Team{Rate: 1, Burst: 1}})
	serverNumber, capacity := 0, 0.0
	for _, b := range f.Backends {
		serverLatency := latency
		if serverNumber++; serverNumber%8 == 0 {
			serverLatency *= 4
			b.UpdateBehaviour(func(b *fake.Behaviour) { b.Latency = serverLatency })
		}
		capacity += slots / serverLatency.Seconds()
	}
	for _, utilisation := range []float64{0.3, 0.5, 0.7, 0.85} {
		result := load.Run(context.Background(), load.Plan{
			Seed: 3, Duration: 8 * time.Second, WarmUp: 2 * time.Second, Entries: f.Entries,
			Teams: []load.Team{{Name: "north", Key: key, OfferedRate: capacity * utilisation}},
			Paths: []string{"/records", "/handovers", "/claims", "/audio"},
		})
		n := result.Teams["north"]
		_, _, beyondSlots := f.Totals()
		t.Logf("offered %.0f/s, %.0f%% of the slots: answered %d of %d, busy %d, unknown %d, p50 %.1f ms p99 %.1f ms, beyond slots %d",
			capacity*utilisation, 100*utilisation, n.Answered, n.Offered, n.NotRun, n.Unknown,
			float64(n.Latency.ValueAtQuantile(50))/1000, float64(n.Latency.ValueAtQuantile(99))/1000, beyondSlots)
		is.Equal(beyondSlots, 0)
	}
}
