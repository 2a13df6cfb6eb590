package host_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

// TestLinkIsNotOverfilled lets callers of one region read large answers from another, over a link with a limit.
func TestLinkIsNotOverfilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const bytesPerSecond, answerBytes = 400_000.0, 40_000
	o := fleet.Options{Hosts: 2, Regions: 2, Services: []fleet.Service{{
		Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 2, DeadlineMs: 5000,
		Behaviour: fake.Behaviour{Slots: 20, Latency: time.Millisecond, AnswerLen: answerBytes},
	}}}
	f, key, _ := start(t, o,
		wire.Resource{Kind: "link", Name: "there", Link: &wire.Link{From: "region-1", To: "region-2", BytesPerSecond: bytesPerSecond}},
		wire.Resource{Kind: "link", Name: "back", Link: &wire.Link{From: "region-2", To: "region-1", BytesPerSecond: bytesPerSecond}},
		wire.Resource{Kind: "drain", Name: "near", Drain: &wire.Drain{Kind: "backend-server", Target: fleet.BackendName("whistle", "v1", 0)}},
	)
	var got, whole atomic.Int64
	var wait sync.WaitGroup
	started := time.Now()
	for range 6 {
		wait.Go(func() {
			for time.Since(started) < 5*time.Second {
				a := read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0])
				got.Add(int64(len(a.body)))
				if a.err == nil && a.status == http.StatusOK {
					whole.Add(1)
				}
			}
		})
	}
	wait.Wait()
	took := time.Since(started).Seconds()
	t.Logf("%d bytes in %.1f s, %d whole answers", got.Load(), took, whole.Load())
	is.True(float64(got.Load()) <= bytesPerSecond*took+bytesPerSecond/4) // rate, and the burst that a link has
	is.True(whole.Load() > 10)
}

// TestRegionLostAndBack loses all backend servers of a region under load, and brings it back by a drain that ends:
// callers there are served from the other regions, and no backend server sheds more than 1%.
func TestRegionLostAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := one("v1")
	o.Services[0].BackendsPerVersion = 9
	f, key, _ := start(t, o)
	stop := make(chan struct{})
	wait, bad, sent := pound(f, key, stop)
	time.Sleep(2 * time.Second)
	for name, b := range f.Backends {
		if strings.HasSuffix(name, "-1") || strings.HasSuffix(name, "-4") || strings.HasSuffix(name, "-7") {
			b.Close() // the backend servers of region-1
		}
	}
	time.Sleep(3 * time.Second)
	lost := bad.Load()
	drain := wire.Resource{Kind: "drain", Name: "west", Drain: &wire.Drain{Kind: "region", Target: "region-2"}}
	is.NoErr(f.Apply(context.Background(), []wire.Resource{drain}))
	time.Sleep(2 * time.Second)
	drain.Deleted = true
	is.NoErr(f.Apply(context.Background(), []wire.Resource{drain}))
	time.Sleep(2 * time.Second)
	close(stop)
	wait.Wait()
	shed, ran := 0, 0
	for _, b := range f.Backends {
		seen := b.Stats()
		shed += seen.Shed
		ran += seen.Requests
	}
	t.Logf("sent %d, not answered %d (%d after the loss), shed %d of %d", sent.Load(), bad.Load(), lost, shed, ran)
	is.Equal(bad.Load(), int64(0))
	is.True(shed*100 <= ran)
}
