package host_test

import (
	"net/http"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

func quantiles(times []time.Duration) (p50, p99 time.Duration) {
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

// TestEntryCost prints the latency that an entry adds to a direct call, paired in one run, and the requests and steering
// answers that one core carries, when JAYSHIFT_MEASURE is set. Caller, entry and backend server share the process.
func TestEntryCost(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	is := is.New(t)
	f, key, _ := start(t, fleet.Options{Hosts: 1, Regions: 1, Services: []fleet.Service{
		{Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 1, Behaviour: fake.Behaviour{Slots: 64}},
	}})
	entry, backend := f.Entries()[0], f.Backends[fleet.BackendName("whistle", "v1", 0)].Address
	var direct, through []time.Duration
	for i := range 4000 {
		for _, target := range []struct {
			address string
			times   *[]time.Duration
		}{{backend, &direct}, {entry, &through}} {
			started := time.Now()
			is.Equal(read(key, "/whistle/read/1").send(http.DefaultClient, target.address).status, http.StatusOK)
			if i >= 500 {
				*target.times = append(*target.times, time.Since(started))
			}
		}
	}
	d50, d99 := quantiles(direct)
	t50, t99 := quantiles(through)
	t.Logf("direct p50 %s p99 %s, through an entry p50 %s p99 %s, added p50 %s p99 %s", d50, d99, t50, t99, t50-d50, t99-d99)
	for name, path := range map[string]string{"direct": "/whistle/read/1", "entry": "/whistle/read/1", "steer": "/v1/steer?client=10.0.0.1"} {
		address := entry
		if name == "direct" {
			address = backend
		}
		t.Logf("%s: %.0f requests for each second of processor time, caller and backend server included", name, perCore(key, path, address))
	}
}

// perCore returns the requests carried for each second of processor time of the whole process.
func perCore(key, path, address string) float64 {
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	var done atomic.Int64
	var wait sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	end := time.Now().Add(3 * time.Second)
	for range 16 {
		wait.Go(func() {
			for time.Now().Before(end) {
				if read(key, path).send(client, address).status == http.StatusOK {
					done.Add(1)
				}
			}
		})
	}
	wait.Wait()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	used := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	return float64(done.Load()) / (float64(used) / 1e9)
}
