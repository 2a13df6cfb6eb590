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

// pound sends requests through all entries until the stop is closed, and counts what was not answered.
func pound(f *fleet.Fleet, key string, stop chan struct{}) (wait *sync.WaitGroup, bad, sent *atomic.Int64) {
	wait, bad, sent = &sync.WaitGroup{}, &atomic.Int64{}, &atomic.Int64{}
	entries := f.Entries()
	for i := range 6 {
		wait.Go(func() {
			client := &http.Client{}
			for {
				select {
				case <-stop:
					return
				default:
				}
				sent.Add(1)
				if got := read(key, "/whistle/read/1").send(client, entries[i%len(entries)]); got.status != http.StatusOK {
					bad.Add(1)
				}
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	return wait, bad, sent
}

// leavingGrace is how long a leaving backend server may still get new work.
const leavingGrace = 3 * time.Second

// TestDrainedBackendGetsNoWork drains one backend server by a resource, and another says itself that it leaves.
func TestDrainedBackendGetsNoWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := one("v1")
	o.Services[0].BackendsPerVersion = 6
	f, key, _ := start(t, o)
	stop := make(chan struct{})
	wait, bad, _ := pound(f, key, stop)
	time.Sleep(time.Second)
	drained, leaving := f.Backends[fleet.BackendName("whistle", "v1", 0)], f.Backends[fleet.BackendName("whistle", "v1", 1)]
	is.NoErr(f.Apply(context.Background(), []wire.Resource{
		{Kind: "drain", Name: "first", Drain: &wire.Drain{Kind: "backend-server", Target: drained.Name}},
	}))
	leaving.UpdateBehaviour(func(b *fake.Behaviour) { b.Leaving = true })
	asked := time.Now()
	time.Sleep(leavingGrace + 2*time.Second)
	close(stop)
	wait.Wait()
	for _, b := range []*fake.Backend{drained, leaving} {
		is.True(b.Stats().Requests > 0)
		is.True(b.Stats().LastStart.Before(asked.Add(leavingGrace)))
	}
	is.Equal(bad.Load(), int64(0))
}

// slowBody gives its bytes over a while, as an upload over a slow line does.
type slowBody struct {
	left int
	step time.Duration
}

// Read waits before each part.
func (s *slowBody) Read(p []byte) (int, error) {
	if s.left == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.step)
	n := min(len(p), 8192, s.left)
	s.left -= n
	return n, nil
}

// TestStopCutsNothing stops a host under load with uploads on their way.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := one("v1")
	o.Services[0].DeadlineMs = 20_000
	f, key, _ := start(t, o)
	var wait sync.WaitGroup
	var cut atomic.Int64
	for range 4 {
		wait.Go(func() {
			r, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+f.Entries()[0]+"/whistle/upload",
				&slowBody{left: 200_000, step: 60 * time.Millisecond})
			r.Header.Set("Authorization", "Bearer "+key)
			response, err := http.DefaultClient.Do(r)
			if err != nil || response.StatusCode != http.StatusOK {
				cut.Add(1)
				return
			}
			_ = response.Body.Close()
		})
	}
	stop := make(chan struct{})
	pounding, bad, _ := pound(f, key, stop)
	var running atomic.Int64
	running.Store(1)
	go func() {
		wait.Wait()
		running.Store(0)
	}()
	time.Sleep(300 * time.Millisecond)
	// Callers that follow steering stop using the host; these do, once it is left out of the answers.
	go func() { _ = f.Hosts[0].Stop() }()
	time.Sleep(50 * time.Millisecond)
	close(stop)
	pounding.Wait()
	for {
		seats := len(f.Hosts[1].Member.Table().Seats)
		if running.Load() == 0 {
			break
		}
		is.Equal(seats, 3) // the seat, and its part of the limits, is kept while requests run
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(cut.Load(), int64(0))
	is.Equal(bad.Load(), int64(0))
	total := int64(0)
	for _, b := range f.Backends {
		total += b.Stats().Bytes
	}
	is.Equal(total, int64(4*200_000)) // every upload arrived whole
	eventually(t, "the seat is given up", func() bool { return len(f.Hosts[1].Member.Table().Seats) == 2 })
}

// TestBrokenAnswersAreNeverWhole lets backend servers break answers off, or give the answer to another request.
func TestBrokenAnswersAreNeverWhole(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*fake.Behaviour){
		"truncated":                    func(b *fake.Behaviour) { b.Truncate = true; b.AnswerLen = 100_000 },
		"truncated, length not stated": func(b *fake.Behaviour) { b.Truncate = true; b.NoLength = true; b.AnswerLen = 100_000 },
		"crossed":                      func(b *fake.Behaviour) { b.Crossed = true },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f, key, _ := start(t, one("v1"))
			setAll(f, change)
			for _, entry := range f.Entries() {
				got := read(key, "/whistle/read/1").send(http.DefaultClient, entry)
				is.True(got.err != nil || got.status >= http.StatusInternalServerError)
			}
		})
	}
}

// TestSilentBackendCostsOneTimeout makes one backend server silent: requests are answered by the others within the deadline.
func TestSilentBackendCostsOneTimeout(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	silent := f.Backends[fleet.BackendName("whistle", "v1", 0)]
	silent.UpdateBehaviour(func(b *fake.Behaviour) { b.Silent = true })
	for range 10 {
		for _, entry := range f.Entries() {
			is.Equal(read(key, "/whistle/read/1").send(http.DefaultClient, entry).status, http.StatusOK)
		}
	}
	is.True(silent.Stats().Requests > 0)
}

// TestLongAnswersAreWhole streams answers that are larger than any buffer.
func TestLongAnswersAreWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	const length = 3 << 20
	setAll(f, func(b *fake.Behaviour) { b.AnswerLen = length })
	for _, entry := range f.Entries() {
		got := read(key, "/whistle/read/1").send(http.DefaultClient, entry)
		is.NoErr(got.err)
		is.Equal(len(got.body), length)
		is.True(bytes.HasPrefix([]byte(got.body), []byte("GET /whistle/read/1\n")))
	}
}

// TestSlotsUnderLoad offers more than the slots hold, with few slots spread over many hosts.
func TestSlotsUnderLoad(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := one("v1")
	o.Services[0].Behaviour = fake.Behaviour{Slots: 3, Latency: 20 * time.Millisecond}
	f, key, _ := start(t, o)
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			for range 20 {
				read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[i%len(f.Entries())])
			}
		})
	}
	wait.Wait()
	var most []int
	for _, b := range f.Backends {
		most = append(most, b.Stats().Most)
	}
	is.True(slices.Max(most) <= 3) // no backend server ran more than its slots
}
