package host_test

import (
	"context"
	"os"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fleet"
)

// idleDuration is how long the cost of an idle fleet is measured.
const idleDuration = 8 * time.Second

// resourceUsage is the resources that a fleet has used so far: processor seconds, bytes and frames sent, and store
// calls.
type resourceUsage struct {
	cpu, bytes, frames, storeCalls float64
}

// measureUsage returns the resources that the fleet has used so far. Processor time is that of the whole process.
func measureUsage(f *fleet.Fleet) resourceUsage {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	s := resourceUsage{cpu: float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9}
	for _, h := range f.Hosts {
		bytes, frames := h.Mesh.Sent()
		s.bytes += float64(bytes)
		s.frames += float64(frames)
		s.storeCalls += float64(h.Store.Calls())
	}
	return s
}

// TestCostPerHost prints the resources that a host uses when idle and for each configuration change, for several fleet
// sizes. Processor time includes the fake store and backend servers, which run in the same process. It runs only if
// JAYSHIFT_MEASURE is set.
func TestCostPerHost(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	is := is.New(t)
	for _, hosts := range []int{3, 6, 12, 24, 36} {
		o := singleService("v1")
		o.Hosts = hosts
		o.Services[0].BackendsPerVersion = 12
		f, _, _ := startFleet(t, o)
		var teams []wire.Resource
		for _, name := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7"} {
			teams = append(teams, wire.Resource{Kind: "team", Name: name, Team: &wire.Team{Rate: 100, Burst: 20}})
		}
		is.NoErr(f.Apply(context.Background(), teams))
		time.Sleep(2 * time.Second)
		before, started := measureUsage(f), time.Now()
		time.Sleep(idleDuration)
		after, seconds := measureUsage(f), time.Since(started).Seconds()
		n := float64(hosts)
		const changes = 50
		for range changes {
			is.NoErr(f.Apply(context.Background(), teams[:1]))
		}
		afterChanges := measureUsage(f)
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		t.Logf("hosts=%d idle, per host: %.2f%% of a core, %.0f B/s sent, %.1f frames/s, %.2f store calls/s, heap %.1f MB; per change and host: %.0f B, %.2f ms, %.2f calls",
			hosts, 100*(after.cpu-before.cpu)/seconds/n, (after.bytes-before.bytes)/seconds/n, (after.frames-before.frames)/seconds/n,
			(after.storeCalls-before.storeCalls)/seconds/n, float64(memory.HeapAlloc)/1e6/n,
			(afterChanges.bytes-after.bytes)/changes/n, 1e3*(afterChanges.cpu-after.cpu)/changes/n, (afterChanges.storeCalls-after.storeCalls)/changes/n)
		f.Close()
	}
}
