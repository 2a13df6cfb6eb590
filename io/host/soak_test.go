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

// TestSoak sends reads, writes with idempotency keys and uploads through 6 hosts while hosts restart, the store is
// unavailable, links are blocked and a backend server is closed. It prints the outcomes of the requests. No request may
// run twice or run although it was reported as not run, no API key may reach a backend server, and no backend
// server may run more requests than it has slots. It runs only if JAYSHIFT_MEASURE is set.
func TestSoak(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	is := is.New(t)
	behaviour := fake.Behaviour{Slots: 5, Latency: 8 * time.Millisecond, Shed: true}
	o := fleet.Options{Hosts: 6, Regions: 3, Services: []fleet.Service{
		{Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 9, Behaviour: behaviour, DeadlineMs: 2000},
		{Name: "claims", Versions: []string{"v1"}, BackendsPerVersion: 6, Behaviour: behaviour, DeadlineMs: 2000},
	}}
	f, key, _ := startFleet(t, o, wire.Resource{Kind: "team", Name: "loud", Team: &wire.Team{Rate: 40, Burst: 20}},
		wire.Resource{Kind: "team", Name: "small", Team: &wire.Team{Rate: 40, Burst: 20}})
	loud, _, err := f.Grant(context.Background(), "loud")
	is.NoErr(err)
	small, _, err := f.Grant(context.Background(), "small")
	is.NoErr(err)
	go injectFaults(f)
	result := load.Run(context.Background(), load.Plan{
		Seed: 5, Duration: 30 * time.Second, WarmUp: time.Second, WriteShare: 0.4, UploadShare: 0.05, UploadBytes: 100_000, MaxResends: 3, Entries: f.Entries,
		Teams: []load.Team{
			{Name: "north", Key: key, OfferedRate: 300},
			{Name: "loud", Key: loud, OfferedRate: 200, RateLimit: 40, Burst: 20},
			{Name: "small", Key: small, OfferedRate: 30, RateLimit: 40, Burst: 20},
		},
		Paths: []string{"/whistle", "/claims"},
	})
	t.Log("\n" + result.Table())
	runs, keys, beyondSlots := f.Totals()
	t.Logf("run twice %d, refused as not run but run %d, keys seen %d, beyond slots %d",
		len(result.DuplicateExecutions(runs)), len(result.FalseNotRun(runs)), keys, beyondSlots)
	is.Equal(len(result.DuplicateExecutions(runs)), 0)
	is.Equal(len(result.FalseNotRun(runs)), 0)
	is.Equal(keys, 0)
	is.Equal(beyondSlots, 0)
}

// injectFaults injects faults one after the other, some of them overlapping.
func injectFaults(f *fleet.Fleet) {
	restart := func(i int) { _, _ = f.Restart(i) }
	time.Sleep(4 * time.Second)
	restart(5)
	time.Sleep(3 * time.Second)
	f.Store.SetFaults(fake.Faults{Down: true})
	f.Backends[fleet.BackendName("whistle", "v1", 0)].Close()
	time.Sleep(5 * time.Second)
	f.Store.SetFaults(fake.Faults{Delay: 300 * time.Millisecond})
	for _, h := range f.Hosts[1:] {
		h.Mesh.SetBlocked("entry-1", true)
	}
	time.Sleep(5 * time.Second)
	f.Store.SetFaults(fake.Faults{LoseAnswer: 5})
	for _, h := range f.Hosts[1:] {
		h.Mesh.SetBlocked("entry-1", false)
	}
	restart(4)
	time.Sleep(3 * time.Second)
	f.Store.ExpireLeases()
	restart(3)
}
