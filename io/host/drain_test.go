package host_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

// startLoad starts 6 callers that send requests through all entries until stop is closed. It returns a wait group for
// the callers and the counts of failed and sent requests.
func startLoad(f *fleet.Fleet, key string, stop chan struct{}) (wg *sync.WaitGroup, failed, sent *atomic.Int64) {
	wg, failed, sent = &sync.WaitGroup{}, &atomic.Int64{}, &atomic.Int64{}
	entries := f.Entries()
	for i := range 6 {
		wg.Go(func() {
			client := &http.Client{}
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if got := readCall(key, "/whistle/read/1").send(client, entries[i%len(entries)]); got.status != http.StatusOK {
					failed.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return wg, failed, sent
}

// leavingGracePeriod is how long a backend server that is drained or stopping may still get new requests.
const leavingGracePeriod = 3 * time.Second

// TestDrainedBackendGetsNoWork drains one backend server with a drain resource, while another reports that it is
// stopping. Both must get no new requests after leavingGracePeriod, and no request may fail.
func TestDrainedBackendGetsNoWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := singleService("v1")
	o.Services[0].BackendsPerVersion = 6
	f, key, _ := startFleet(t, o)
	stop := make(chan struct{})
	wg, failed, _ := startLoad(f, key, stop)
	time.Sleep(time.Second)
	drained, leaving := f.Backends[fleet.BackendName("whistle", "v1", 0)], f.Backends[fleet.BackendName("whistle", "v1", 1)]
	is.NoErr(f.Apply(context.Background(), []wire.Resource{
		{Kind: "drain", Name: "first", Drain: &wire.Drain{Kind: "backend-server", Target: drained.Name}},
	}))
	leaving.UpdateBehaviour(func(b *fake.Behaviour) { b.Leaving = true })
	drainedAt := time.Now()
	time.Sleep(leavingGracePeriod + 2*time.Second)
	close(stop)
	wg.Wait()
	for _, b := range []*fake.Backend{drained, leaving} {
		is.True(b.Stats().Requests > 0)
		is.True(b.Stats().LastStart.Before(drainedAt.Add(leavingGracePeriod)))
	}
	is.Equal(failed.Load(), int64(0))
}

// slowBody is a request body that is read slowly, like an upload over a slow connection.
type slowBody struct {
	remaining int
	delay     time.Duration
}

// Read waits for the delay and returns at most 8192 bytes.
func (s *slowBody) Read(p []byte) (int, error) {
	if s.remaining == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.delay)
	n := min(len(p), 8192, s.remaining)
	s.remaining -= n
	return n, nil
}

// TestStopCutsNothing stops a host while uploads run through it. The host must keep its seat until the uploads have
// ended, and none of them may fail.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := singleService("v1")
	o.Services[0].DeadlineMs = 20_000
	f, key, _ := startFleet(t, o)
	var uploads sync.WaitGroup
	var failedUploads atomic.Int64
	for range 4 {
		uploads.Go(func() {
			r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.Entries()[0]+"/whistle/upload",
				&slowBody{remaining: 200_000, delay: 60 * time.Millisecond})
			r.Header.Set("Authorization", "Bearer "+key)
			response, err := http.DefaultClient.Do(r)
			if err != nil || response.StatusCode != http.StatusOK {
				failedUploads.Add(1)
				return
			}
			_ = response.Body.Close()
		})
	}
	stop := make(chan struct{})
	loadDone, failed, _ := startLoad(f, key, stop)
	var uploading atomic.Int64
	uploading.Store(1)
	go func() {
		uploads.Wait()
		uploading.Store(0)
	}()
	time.Sleep(300 * time.Millisecond)
	// Callers that use steering stop sending requests to a host that is stopping. The load does not use steering, so
	// it is ended here.
	go func() { _ = f.Hosts[0].Stop() }()
	time.Sleep(50 * time.Millisecond)
	close(stop)
	loadDone.Wait()
	for {
		seats := len(f.Hosts[1].Member.Table().Seats)
		if uploading.Load() == 0 {
			break
		}
		is.Equal(seats, 3) // the host keeps its seat and its share of the limits while requests run
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(failedUploads.Load(), int64(0))
	is.Equal(failed.Load(), int64(0))
	total := int64(0)
	for _, b := range f.Backends {
		total += b.Stats().Bytes
	}
	is.Equal(total, int64(4*200_000)) // every upload arrived completely
	eventually(t, "the seat is released", func() bool { return len(f.Hosts[1].Member.Table().Seats) == 2 })
}

// TestBrokenAnswersAreNeverWhole makes backend servers truncate answers or send the answer to another request. The
// caller must get an error, never an apparently complete answer.
func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*fake.Behaviour){
		"truncated":                    func(b *fake.Behaviour) { b.Truncate = true; b.AnswerLen = 100_000 },
		"truncated, no content length": func(b *fake.Behaviour) { b.Truncate = true; b.NoLength = true; b.AnswerLen = 100_000 },
		"crossed":                      func(b *fake.Behaviour) { b.Crossed = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, key, _ := startFleet(t, singleService("v1"))
			setBehaviour(f, change)
			for _, entry := range f.Entries() {
				got := readCall(key, "/whistle/read/1").send(http.DefaultClient, entry)
				is.True(got.err != nil || got.status >= http.StatusInternalServerError)
			}
		})
	}
}

// TestSilentBackendCostsOneTimeout makes one backend server stop answering. The others must answer all requests within
// the deadline.
func TestSilentBackendCostsOneTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := startFleet(t, singleService("v1"))
	silent := f.Backends[fleet.BackendName("whistle", "v1", 0)]
	silent.UpdateBehaviour(func(b *fake.Behaviour) { b.Silent = true })
	for range 10 {
		for _, entry := range f.Entries() {
			is.Equal(readCall(key, "/whistle/read/1").send(http.DefaultClient, entry).status, http.StatusOK)
		}
	}
	is.True(silent.Stats().Requests > 0)
}

// TestLongAnswersAreWhole sends answers that are larger than any buffer. The caller must get them completely.
func TestLongAnswersAreWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := startFleet(t, singleService("v1"))
	const length = 3 << 20
	setBehaviour(f, func(b *fake.Behaviour) { b.AnswerLen = length })
	for _, entry := range f.Entries() {
		got := readCall(key, "/whistle/read/1").send(http.DefaultClient, entry)
		is.NoErr(got.err)
		is.Equal(len(got.body), length)
		is.True(bytes.HasPrefix([]byte(got.body), []byte("GET /whistle/read/1\n")))
	}
}

// TestSlotsUnderLoad offers more requests than there are slots, through all hosts. No backend server may run more
// requests at once than it has slots.
func TestSlotsUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := singleService("v1")
	o.Services[0].Behaviour = fake.Behaviour{Slots: 3, Latency: 20 * time.Millisecond}
	f, key, _ := startFleet(t, o)
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			for range 20 {
				readCall(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[i%len(f.Entries())])
			}
		})
	}
	wg.Wait()
	var maxInFlight []int
	for _, b := range f.Backends {
		maxInFlight = append(maxInFlight, b.Stats().Most)
	}
	is.True(slices.Max(maxInFlight) <= 3) // no backend server ran more requests than it has slots
}
