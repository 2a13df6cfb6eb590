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

// quantiles sorts the times and returns their median and 99th percentile.
func quantiles(times []time.Duration) (p50, p99 time.Duration) {
	slices.Sort(times)
	return times[len(times)/2], times[len(times)*99/100]
}

// TestEntryCost measures the latency that an entry host adds, from alternating direct and proxied requests, and the
// requests and steer responses per second of processor time. Caller, entry host and backend server run in one process.
// It runs only if JAYSHIFT_MEASURE is set.
func TestEntryCost(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	is := is.New(t)
	f, key, _ := startFleet(t, fleet.Options{Hosts: 1, Regions: 1, Services: []fleet.Service{
		{Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 1, Behaviour: fake.Behaviour{Slots: 64}},
	}})
	entry, backend := f.Entries()[0], f.Backends[fleet.BackendName("whistle", "v1", 0)].Address
	var direct, viaEntry []time.Duration
	for i := range 4000 {
		for _, endpoint := range []struct {
			address string
			times   *[]time.Duration
		}{{backend, &direct}, {entry, &viaEntry}} {
			started := time.Now()
			is.Equal(readCall(key, "/whistle/read/1").send(http.DefaultClient, endpoint.address).status, http.StatusOK)
			if i >= 500 {
				*endpoint.times = append(*endpoint.times, time.Since(started))
			}
		}
	}
	directP50, directP99 := quantiles(direct)
	entryP50, entryP99 := quantiles(viaEntry)
	t.Logf("direct p50 %s p99 %s, through an entry p50 %s p99 %s, added p50 %s p99 %s", directP50, directP99, entryP50, entryP99, entryP50-directP50, entryP99-directP99)
	for name, path := range map[string]string{"direct": "/whistle/read/1", "entry": "/whistle/read/1", "steer": "/v1/steer?client=10.0.0.1"} {
		address := entry
		if name == "direct" {
			address = backend
		}
		t.Logf("%s: %.0f requests per second of processor time, caller and backend server included", name, requestsPerCPUSecond(key, path, address))
	}
}

// requestsPerCPUSecond returns the number of successful requests per second of processor time of the whole process.
func requestsPerCPUSecond(key, path, address string) float64 {
	var before, after syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	var completed atomic.Int64
	var wg sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	end := time.Now().Add(3 * time.Second)
	for range 16 {
		wg.Go(func() {
			for time.Now().Before(end) {
				if readCall(key, path).send(client, address).status == http.StatusOK {
					completed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &after)
	cpuNanos := after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano()
	return float64(completed.Load()) / (float64(cpuNanos) / 1e9)
}
