package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/roster"
)

const service = ident.Service("service")

// epoch is the wall-clock time at which simulations start. Policies take wall-clock times.
var epoch = time.UnixMilli(1_000_000_000)

// simulation is one run of a scenario with a policy and a seed.
type simulation struct {
	scenario Scenario
	random   *rand.Rand
	now      time.Duration
	events   eventQueue
	backends []*backend
	result   Result
}

// event is a function to run at a virtual time.
type event struct {
	at       time.Duration
	tiebreak int
	run      func()
}

// eventQueue is a heap of events ordered by time, then by a random tiebreak.
type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].tiebreak < e[j].tiebreak
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *eventQueue) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// schedule queues a function to run after d of virtual time. Events at the same time run in random order.
func (sim *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&sim.events, event{sim.now + d, sim.random.IntN(1 << 30), run})
}

func (sim *simulation) wallTime() time.Time { return epoch.Add(sim.now) }

// Run simulates the scenario with the policy. The same seed gives the same result.
func Run(s Scenario, policy Policy, seed uint64) Result {
	sim := &simulation{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), result: Result{Policy: policy.Name}}
	sim.addServers()
	for region := range s.Regions {
		sim.startCallers(region, sim.newDeciders(region, policy))
	}
	if s.SlowStart > 0 {
		sim.schedule(s.SlowStart, sim.slowServers)
	}
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	sim.result.computeCredit()
	return sim.result
}

func regionName(r int) ident.Region { return ident.Region(fmt.Sprintf("r%d", r)) }
func zoneName(r, z int) ident.AvailabilityZone {
	return ident.AvailabilityZone(fmt.Sprintf("r%d-z%d", r, z))
}

func (sim *simulation) addServers() {
	for r := range sim.scenario.Regions {
		for z := range sim.scenario.Zones {
			for range sim.scenario.Servers[r%len(sim.scenario.Servers)] {
				id := ident.BackendServer(fmt.Sprintf("s%d", len(sim.backends)))
				sim.backends = append(sim.backends, &backend{region: r, zone: z, slowdown: 1, Entry: roster.Entry{Server: roster.Server{
					ID: id, Service: service, Address: string(id), Zone: zoneName(r, z), Region: regionName(r),
					Version: "v1", Slots: sim.scenario.Slots, StartMillis: 1,
				}}})
			}
		}
	}
}

// slowServers multiplies the run times of the first server of each region by SlowFactor.
func (sim *simulation) slowServers() {
	seen := map[int]bool{}
	for _, b := range sim.backends {
		if !seen[b.region] {
			b.slowdown = sim.scenario.SlowFactor
		}
		seen[b.region] = true
	}
}

// newDeciders returns the deciders of all hosts of a region.
func (sim *simulation) newDeciders(region int, policy Policy) []Decider {
	var entries []roster.Entry
	for _, b := range sim.backends {
		entries = append(entries, b.Entry)
	}
	var deciders []Decider
	for z := range sim.scenario.Zones {
		for range sim.scenario.Hosts {
			deciders = append(deciders, policy.NewDecider(Environment{
				Entries: entries, Scenario: sim.scenario, Random: sim.random,
				Location: place.Location{Zone: zoneName(region, z), Region: regionName(region)},
			}))
		}
	}
	return deciders
}

// startCallers schedules the requests of a region as a Poisson process, each to a random host, until the scenario's
// Duration has passed.
func (sim *simulation) startCallers(region int, deciders []Decider) {
	var arrive func()
	arrive = func() {
		if sim.now >= sim.scenario.Duration {
			return
		}
		sim.sendRequest(region, deciders[sim.random.IntN(len(deciders))])
		sim.schedule(time.Duration(sim.random.ExpFloat64()/sim.requestRate()*float64(time.Second)), arrive)
	}
	sim.schedule(0, arrive)
}

// requestRate returns the current rate of requests per second of a region.
func (sim *simulation) requestRate() float64 {
	s := sim.scenario
	if s.BurstStart > 0 && sim.now >= s.BurstStart && sim.now < s.BurstStart+s.BurstDuration {
		return s.Rate * s.BurstFactor
	}
	return s.Rate
}

// sendRequest simulates a request from a caller: the decision of the host, the network round trip and the run.
func (sim *simulation) sendRequest(region int, decide Decider) {
	sim.result.Requests++
	started := sim.now
	object := region*sim.scenario.Objects + sim.random.IntN(sim.scenario.Objects)
	chosen, end := decide(sim.wallTime(), object, sim.wallTime())
	if chosen < 0 {
		sim.result.Refused++
		return
	}
	b := sim.backends[chosen]
	roundTrip := time.Millisecond
	if b.region != region {
		roundTrip = sim.scenario.InterRegionRTT
	}
	finish := func(o place.Outcome) {
		sim.schedule(roundTrip/2, func() { end(sim.wallTime(), o) })
	}
	sim.schedule(roundTrip/2, func() {
		req := &request{object: object, onDone: func(at time.Duration, warm bool) {
			load := b.load(sim.scenario.Slots)
			sim.recordRun(at+roundTrip/2-started, warm)
			finish(place.Outcome{Result: place.Succeeded, Load: &load, ConnectTime: roundTrip})
		}}
		if !b.accept(sim, req) {
			sim.result.Failed++
			load := b.load(sim.scenario.Slots)
			finish(place.Outcome{Result: place.Shed, Load: &load, ConnectTime: roundTrip})
		}
	})
}

// recordRun counts a completed run by the latency that the caller saw.
func (sim *simulation) recordRun(latency time.Duration, warm bool) {
	sim.result.Runs++
	if warm {
		sim.result.WarmRuns++
	}
	switch {
	case latency <= sim.scenario.LatencyTarget:
		sim.result.InTarget++
	case latency <= sim.scenario.CallerTimeout:
		sim.result.Late++
	default:
		sim.result.Failed++
	}
}
