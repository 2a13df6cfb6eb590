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

const idleTime = 8 * time.Second

// sample is what a fleet has used so far.
type sample struct {
	cpu, bytes, frames, calls float64
}

func sampleOf(f *fleet.Fleet) sample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	s := sample{cpu: float64(usage.Utime.Nano()+usage.Stime.Nano()) / 1e9}
	for _, h := range f.Hosts {
		bytes, frames := h.Mesh.Sent()
		s.bytes += float64(bytes)
		s.frames += float64(frames)
		s.calls += float64(h.Store.Calls())
	}
	return s
}

// TestSlopes prints what a host costs at rest and for each change, for several sizes, when JAYSHIFT_MEASURE is set.
// Processor time includes the stand-in store and backend servers, which run in the same process.
func TestSlopes(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	is := is.New(t)
	for _, hosts := range []int{3, 6, 12, 24, 36} {
		o := one("v1")
		o.Hosts = hosts
		o.Services[0].BackendsPerVersion = 12
		f, _, _ := start(t, o)
		var teams []wire.Resource
		for _, name := range []string{"t1", "t2", "t3", "t4", "t5", "t6", "t7"} {
			teams = append(teams, wire.Resource{Kind: "team", Name: name, Team: &wire.Team{Rate: 100, Burst: 20}})
		}
		is.NoErr(f.Apply(context.Background(), teams))
		time.Sleep(2 * time.Second)
		before, started := sampleOf(f), time.Now()
		time.Sleep(idleTime)
		after, took := sampleOf(f), time.Since(started).Seconds()
		n := float64(hosts)
		const changes = 50
		for range changes {
			is.NoErr(f.Apply(context.Background(), teams[:1]))
		}
		changed := sampleOf(f)
		var memory runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&memory)
		t.Logf("hosts=%d at rest, for a host: %.2f%% of a core, %.0f B/s sent, %.1f frames/s, %.2f store calls/s, heap %.1f MB; for a change and host: %.0f B, %.2f ms, %.2f calls",
			hosts, 100*(after.cpu-before.cpu)/took/n, (after.bytes-before.bytes)/took/n, (after.frames-before.frames)/took/n,
			(after.calls-before.calls)/took/n, float64(memory.HeapAlloc)/1e6/n,
			(changed.bytes-after.bytes)/changes/n, 1e3*(changed.cpu-after.cpu)/changes/n, (changed.calls-after.calls)/changes/n)
		f.Close()
	}
}
