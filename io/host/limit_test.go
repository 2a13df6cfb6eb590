package host_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

// runLoad sends requests from 12 callers through all entries for the duration, and runs during at the same time. It
// returns the number of requests that were refused with status 429.
func runLoad(f *fleet.Fleet, key string, duration time.Duration, during func()) (refused *atomic.Int64) {
	refused = &atomic.Int64{}
	var wg sync.WaitGroup
	end := time.Now().Add(duration)
	for i := range 12 {
		wg.Go(func() {
			client := &http.Client{}
			for time.Now().Before(end) {
				entries := f.Entries()
				if readCall(key, "/whistle/read/1").send(client, entries[i%len(entries)]).status == http.StatusTooManyRequests {
					refused.Add(1)
				}
				time.Sleep(3 * time.Millisecond)
			}
		})
	}
	wg.Go(during)
	wg.Wait()
	return refused
}

// TestLimitsHold offers more than a team's rate or a shift's cap during a store outage, a lost connection between two
// hosts, and three immediate restarts of a killed host. It compares the requests that backend servers started with a
// central token bucket, which must never be exceeded.
func TestLimitsHold(t *testing.T) {
	t.Parallel()
	const rate, burst = 60.0, 24.0
	for name, limit := range map[string]wire.Resource{
		"team":  {Kind: "team", Name: "north", Team: &wire.Team{Rate: rate, Burst: burst}},
		"shift": {Kind: "shift", Name: "strike", Shift: &wire.Shift{Services: []string{"whistle"}, Cap: rate, CapBurst: burst}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			o := singleService("v1")
			var checkerPtr atomic.Pointer[fake.RateChecker]
			o.Services[0].Behaviour = fake.Behaviour{Slots: 20, Latency: time.Millisecond, OnStart: func() {
				if checker := checkerPtr.Load(); checker != nil {
					checker.Record(time.Now())
				}
			}}
			f, key, _ := startFleet(t, o)
			is.NoErr(f.Apply(context.Background(), []wire.Resource{limit}))
			time.Sleep(500 * time.Millisecond)
			checkerPtr.Store(fake.NewRateChecker(rate, burst))
			refused := runLoad(f, key, 14*time.Second, func() {
				time.Sleep(2 * time.Second)
				f.Store.SetFaults(fake.Faults{Down: true})
				time.Sleep(2 * time.Second)
				f.Hosts[0].Mesh.SetBlocked("entry-2", true)
				f.Hosts[1].Mesh.SetBlocked("entry-1", true)
				time.Sleep(time.Second)
				f.Store.SetFaults(fake.Faults{})
				f.Hosts[0].Mesh.SetBlocked("entry-2", false)
				f.Hosts[1].Mesh.SetBlocked("entry-1", false)
				for range 3 {
					_, _ = f.Restart(2)
					time.Sleep(1500 * time.Millisecond)
				}
			})
			excess, admitted := checkerPtr.Load().Excess()
			t.Logf("%s: %d started, %d refused, at most %.3f beyond the limit", name, admitted, refused.Load(), excess)
			is.True(refused.Load() > 0)
			is.True(admitted > 200) // the limit was used
			is.True(excess <= 0)
		})
	}
}

// TestRegionIsNotOverloaded limits a region to less than its callers offer. The region's limit must hold, and the other
// requests must go to other regions.
func TestRegionIsNotOverloaded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate, burst = 40.0, 10.0
	o := singleService("v1")
	o.Services[0].Behaviour = fake.Behaviour{Slots: 20, Latency: time.Millisecond}
	f, key, _ := startFleet(t, o)
	is.NoErr(f.Apply(context.Background(), []wire.Resource{{Kind: "region", Name: "region-1", Region: &wire.Region{Rate: rate, Burst: burst}}}))
	checker := fake.NewRateChecker(rate, burst)
	limited := f.Backends[fleet.BackendName("whistle", "v1", 0)]
	limited.UpdateBehaviour(func(b *fake.Behaviour) { b.OnStart = func() { checker.Record(time.Now()) } })
	runLoad(f, key, 4*time.Second, func() {})
	otherRegions := 0
	for name, b := range f.Backends {
		if name != limited.Name {
			otherRegions += b.Stats().Requests
		}
	}
	excess, admitted := checker.Excess()
	t.Logf("region-1 started %d, the others %d, at most %.3f beyond the limit", admitted, otherRegions, excess)
	is.True(excess <= 0)
	is.True(admitted > 20)
	is.True(otherRegions > admitted)
}
