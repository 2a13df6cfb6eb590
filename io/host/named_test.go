package host_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

// TestServerGetsNoMoreThanItsNamedLimit guards against hosts that together send a backend server more than it has named,
// and against hosts that go on holding back once it names no limit.
func TestServerGetsNoMoreThanItsNamedLimit(t *testing.T) {
	t.Parallel()
	const (
		limit     = 2.0 // requests per second
		stability = 4 * time.Second
		window    = 4 * time.Second
		limited   = 14 * time.Second
		freed     = 6 * time.Second
	)
	is := is.New(t)
	f, key, _ := startFleet(t, singleService("v1"))
	backend := f.Backends[fleet.BackendName("whistle", "v1", 0)]
	started := recordStarts(backend)
	var most, after int
	runLoad(f, key, 2*time.Second+limited+freed, func() {
		time.Sleep(2 * time.Second)
		namedAt := time.Now()
		backend.UpdateBehaviour(func(b *fake.Behaviour) { b.Limit = "2" })
		time.Sleep(limited)
		most = fake.MaxInWindow(window, started(namedAt.Add(stability)))
		backend.UpdateBehaviour(func(b *fake.Behaviour) { b.Limit = "" })
		freedAt := time.Now()
		time.Sleep(freed)
		after = len(started(freedAt.Add(freed / 2)))
	})
	t.Logf("at most %d requests in %s, and %d in %s after it named no limit", most, window, after, freed/2)
	is.True(float64(most) <= 1.5*limit*window.Seconds()+5)
	is.True(float64(most) >= 0.5*limit*window.Seconds()) // it is not left idle
	is.True(float64(after) > 3*limit*freed.Seconds()/2)
}

// recordStarts returns a function that returns when requests have started at the backend server from a time on.
func recordStarts(b *fake.Backend) func(from time.Time) []time.Time {
	var mu sync.Mutex
	var starts []time.Time
	b.UpdateBehaviour(func(b *fake.Behaviour) {
		b.OnStart = func() {
			mu.Lock()
			defer mu.Unlock()
			starts = append(starts, time.Now())
		}
	})
	return func(from time.Time) []time.Time {
		mu.Lock()
		defer mu.Unlock()
		var list []time.Time
		for _, at := range starts {
			if !at.Before(from) {
				list = append(list, at)
			}
		}
		return list
	}
}
