package model

import (
	"math/rand/v2"
	"time"

	"jayshift/core/place"
	"jayshift/core/roster"
)

// backend simulates one backend server: it runs requests in slots, queues others, and caches recent objects.
type backend struct {
	roster.Entry
	region   int
	zone     int
	running  int
	waiting  []*request
	cached   []int   // objects in the cache, most recently used last
	slowdown float64 // factor on the run time
}

// request is a request that runs or waits at a backend server.
type request struct {
	object int
	onDone func(at time.Duration, warm bool) // warm: the object was cached
}

// accept runs the request or queues it. It returns false when the queue is full.
func (b *backend) accept(sim *simulation, req *request) bool {
	if b.running < sim.scenario.Slots {
		b.start(sim, req)
		return true
	}
	if len(b.waiting) >= sim.scenario.QueueLimit {
		return false
	}
	b.waiting = append(b.waiting, req)
	return true
}

// start runs the request in a free slot and then starts the next queued one. The run time is ColdRunTime or WarmRunTime
// with normally distributed jitter, times the server's slowdown.
func (b *backend) start(sim *simulation, req *request) {
	b.running++
	warm := b.isCached(req.object)
	runTime := sim.scenario.ColdRunTime
	if warm {
		runTime = sim.scenario.WarmRunTime
	}
	runTime = time.Duration(float64(runTime) * b.slowdown * (1 + sim.scenario.RunTimeSpread*sim.random.NormFloat64()))
	sim.schedule(max(runTime, time.Millisecond), func() {
		b.running--
		b.cache(req.object, sim.scenario.CacheSize)
		req.onDone(sim.now, warm)
		if len(b.waiting) > 0 {
			next := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.start(sim, next)
		}
	})
}

func (b *backend) isCached(object int) bool {
	for _, o := range b.cached {
		if o == object {
			return true
		}
	}
	return false
}

// cache makes the object the most recently used one and evicts the least recently used one above maxObjects.
func (b *backend) cache(object, maxObjects int) {
	others := b.cached[:0]
	for _, o := range b.cached {
		if o != object {
			others = append(others, o)
		}
	}
	b.cached = append(others, object)
	if len(b.cached) > maxObjects {
		b.cached = b.cached[1:]
	}
}

func (b *backend) load(slots int) place.Load {
	return place.Load{Running: b.running, Waiting: len(b.waiting), Slots: slots}
}

// Policy is a named load-balancing policy.
type Policy struct {
	Name string
	// NewDecider returns a decider with the state of one host.
	NewDecider func(env Environment) Decider
}

// Decider picks the backend server for a request of a caller in the host's region. It returns the index of the server
// in Environment.Entries, or -1 to refuse the request, and a function to call with the outcome at the end.
type Decider func(now time.Time, object int, started time.Time) (server int, end func(now time.Time, o place.Outcome))

// Environment is the information that a policy has at one host.
type Environment struct {
	Entries  []roster.Entry
	Location place.Location
	Scenario Scenario
	Random   *rand.Rand
}
