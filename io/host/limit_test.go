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

// flood sends as many requests as the entries take, through all of them, until the time is over.
func flood(f *fleet.Fleet, key string, length time.Duration, during func()) (refused *atomic.Int64) {
	refused = &atomic.Int64{}
	var wait sync.WaitGroup
	end := time.Now().Add(length)
	for i := range 12 {
		wait.Go(func() {
			client := &http.Client{}
			for time.Now().Before(end) {
				entries := f.Entries()
				if read(key, "/whistle/read/1").send(client, entries[i%len(entries)]).status == http.StatusTooManyRequests {
					refused.Add(1)
				}
				time.Sleep(3 * time.Millisecond)
			}
		})
	}
	wait.Go(during)
	wait.Wait()
	return refused
}

// TestLimitsHold floods a team's rate, a shift's cap and a region's capacity, through a store outage, a cut
// between two hosts and a host that is killed and started again at once, three times, and holds what backend servers started against the ledger.
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
			o := one("v1")
			var l atomic.Pointer[fake.RateChecker]
			o.Services[0].Behaviour = fake.Behaviour{Slots: 20, Latency: time.Millisecond, OnStart: func() {
				if ledger := l.Load(); ledger != nil {
					ledger.Record(time.Now())
				}
			}}
			f, key, _ := start(t, o)
			is.NoErr(f.Apply(context.Background(), []wire.Resource{limit}))
			time.Sleep(500 * time.Millisecond)
			l.Store(fake.NewRateChecker(rate, burst))
			refused := flood(f, key, 14*time.Second, func() {
				time.Sleep(2 * time.Second)
				f.Store.SetFaults(fake.Faults{Down: true})
				time.Sleep(2 * time.Second)
				f.Hosts[0].Mesh.SetCut("entry-2", true)
				f.Hosts[1].Mesh.SetCut("entry-1", true)
				time.Sleep(time.Second)
				f.Store.SetFaults(fake.Faults{})
				f.Hosts[0].Mesh.SetCut("entry-2", false)
				f.Hosts[1].Mesh.SetCut("entry-1", false)
				for range 3 {
					_, _ = f.Restart(2)
					time.Sleep(1500 * time.Millisecond)
				}
			})
			over, admitted := l.Load().Excess()
			t.Logf("%s: %d started, %d refused, at most %.3f beyond the limit", name, admitted, refused.Load(), over)
			is.True(refused.Load() > 0)
			is.True(admitted > 200) // the limit was used
			is.True(over <= 0)
		})
	}
}

// TestRegionIsNotOverloaded limits a region below what its callers offer: the rest goes to other regions.
func TestRegionIsNotOverloaded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate, burst = 40.0, 10.0
	o := one("v1")
	o.Services[0].Behaviour = fake.Behaviour{Slots: 20, Latency: time.Millisecond}
	f, key, _ := start(t, o)
	is.NoErr(f.Apply(context.Background(), []wire.Resource{{Kind: "region", Name: "region-1", Region: &wire.Region{Rate: rate, Burst: burst}}}))
	l := fake.NewRateChecker(rate, burst)
	limited := f.Backends[fleet.BackendName("whistle", "v1", 0)]
	limited.UpdateBehaviour(func(b *fake.Behaviour) { b.OnStart = func() { l.Record(time.Now()) } })
	flood(f, key, 4*time.Second, func() {})
	elsewhere := 0
	for name, b := range f.Backends {
		if name != limited.Name {
			elsewhere += b.Stats().Requests
		}
	}
	over, admitted := l.Excess()
	t.Logf("region-1 started %d, the others %d, at most %.3f beyond the limit", admitted, elsewhere, over)
	is.True(over <= 0)
	is.True(admitted > 20)
	is.True(elsewhere > admitted)
}
