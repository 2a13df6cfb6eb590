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

// TestLinkIsNotOverfilled reads large answers from another region over a link with a bandwidth limit. The bytes
// received must stay within the limit.
func TestLinkIsNotOverfilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const bytesPerSecond, answerBytes = 400_000.0, 40_000
	o := fleet.Options{Hosts: 2, Regions: 2, Services: []fleet.Service{{
		Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 2, DeadlineMs: 5000,
		Behaviour: fake.Behaviour{Slots: 20, Latency: time.Millisecond, AnswerLen: answerBytes},
	}}}
	f, key, _ := startFleet(t, o,
		wire.Resource{Kind: "link", Name: "there", Link: &wire.Link{From: "region-1", To: "region-2", BytesPerSecond: bytesPerSecond}},
		wire.Resource{Kind: "link", Name: "back", Link: &wire.Link{From: "region-2", To: "region-1", BytesPerSecond: bytesPerSecond}},
		wire.Resource{Kind: "drain", Name: "near", Drain: &wire.Drain{Kind: "backend-server", Target: fleet.BackendName("whistle", "v1", 0)}},
	)
	var receivedBytes, completeAnswers atomic.Int64
	var wg sync.WaitGroup
	started := time.Now()
	for range 6 {
		wg.Go(func() {
			for time.Since(started) < 5*time.Second {
				a := readCall(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0])
				receivedBytes.Add(int64(len(a.body)))
				if a.err == nil && a.status == http.StatusOK {
					completeAnswers.Add(1)
				}
			}
		})
	}
	wg.Wait()
	seconds := time.Since(started).Seconds()
	t.Logf("%d bytes in %.1f s, %d complete answers", receivedBytes.Load(), seconds, completeAnswers.Load())
	is.True(float64(receivedBytes.Load()) <= bytesPerSecond*seconds+bytesPerSecond/4) // rate plus burst of a link
	is.True(completeAnswers.Load() > 10)
}

// TestRegionLostAndBack closes all backend servers of one region under load, then drains a second region and ends the
// drain. Other regions must serve all requests, and the backend servers together may shed at most 1%.
func TestRegionLostAndBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := singleService("v1")
	o.Services[0].BackendsPerVersion = 9
	f, key, _ := startFleet(t, o)
	stop := make(chan struct{})
	wg, failed, sent := startLoad(f, key, stop)
	time.Sleep(2 * time.Second)
	for name, b := range f.Backends {
		if strings.HasSuffix(name, "-1") || strings.HasSuffix(name, "-4") || strings.HasSuffix(name, "-7") {
			b.Close() // the backend servers of region-1
		}
	}
	time.Sleep(3 * time.Second)
	failedAfterLoss := failed.Load()
	drain := wire.Resource{Kind: "drain", Name: "west", Drain: &wire.Drain{Kind: "region", Target: "region-2"}}
	is.NoErr(f.Apply(context.Background(), []wire.Resource{drain}))
	time.Sleep(2 * time.Second)
	drain.Deleted = true
	is.NoErr(f.Apply(context.Background(), []wire.Resource{drain}))
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	shed, requests := 0, 0
	for _, b := range f.Backends {
		stats := b.Stats()
		shed += stats.Shed
		requests += stats.Requests
	}
	t.Logf("sent %d, not answered %d (%d after the loss), shed %d of %d", sent.Load(), failed.Load(), failedAfterLoss, shed, requests)
	is.Equal(failed.Load(), int64(0))
	is.True(shed*100 <= requests)
}
