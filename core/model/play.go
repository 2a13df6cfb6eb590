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

// epoch is the wall time at which plays begin; decisions take times of day.
var epoch = time.UnixMilli(1_000_000_000)

// play is one run of a scenario.
type play struct {
	scenario Scenario
	random   *rand.Rand
	now      time.Duration
	events   events
	backends []*backend
	result   Result
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (p *play) after(d time.Duration, do func()) {
	heap.Push(&p.events, event{p.now + d, p.random.IntN(1 << 30), do})
}

func (p *play) wall() time.Time { return epoch.Add(p.now) }

// Run plays the scenario with a policy and a seed.
func Run(s Scenario, policy Policy, seed uint64) Result {
	p := &play{scenario: s, random: rand.New(rand.NewPCG(seed, 1)), result: Result{Policy: policy.Name}}
	p.addServers()
	for region := range s.Regions {
		p.addCallers(region, p.hosts(region, policy))
	}
	if s.SlowFrom > 0 {
		p.after(s.SlowFrom, p.slowDown)
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	p.result.finish()
	return p.result
}

func regionName(r int) ident.Region { return ident.Region(fmt.Sprintf("r%d", r)) }
func zoneName(r, z int) ident.AvailabilityZone {
	return ident.AvailabilityZone(fmt.Sprintf("r%d-z%d", r, z))
}

func (p *play) addServers() {
	for r := range p.scenario.Regions {
		for z := range p.scenario.Zones {
			for range p.scenario.Servers[r%len(p.scenario.Servers)] {
				id := ident.BackendServer(fmt.Sprintf("s%d", len(p.backends)))
				p.backends = append(p.backends, &backend{region: r, zone: z, slow: 1, Entry: roster.Entry{Server: roster.Server{
					ID: id, Service: service, Address: string(id), Zone: zoneName(r, z), Region: regionName(r),
					Version: "v1", Slots: p.scenario.Slots, Born: 1,
				}}})
			}
		}
	}
}

func (p *play) slowDown() {
	seen := map[int]bool{}
	for _, b := range p.backends {
		if !seen[b.region] {
			b.slow = p.scenario.SlowTimes
		}
		seen[b.region] = true
	}
}

func (p *play) hosts(region int, policy Policy) []Decide {
	var entries []roster.Entry
	for _, b := range p.backends {
		entries = append(entries, b.Entry)
	}
	var hosts []Decide
	for z := range p.scenario.Zones {
		for range p.scenario.Hosts {
			hosts = append(hosts, policy.New(Hosts{
				Entries: entries, Scenario: p.scenario, Random: p.random,
				Place: place.Location{Zone: zoneName(region, z), Region: regionName(region)},
			}))
		}
	}
	return hosts
}

// addCallers lets requests of a region come at random times until the end of the play.
func (p *play) addCallers(region int, hosts []Decide) {
	var next func()
	next = func() {
		if p.now >= p.scenario.Length {
			return
		}
		p.request(region, hosts[p.random.IntN(len(hosts))])
		p.after(time.Duration(p.random.ExpFloat64()/p.rate()*float64(time.Second)), next)
	}
	p.after(0, next)
}

func (p *play) rate() float64 {
	s := p.scenario
	if s.BurstAt > 0 && p.now >= s.BurstAt && p.now < s.BurstAt+s.BurstFor {
		return s.Rate * s.BurstTimes
	}
	return s.Rate
}

func (p *play) request(region int, decide Decide) {
	p.result.Asked++
	started := p.now
	object := region*p.scenario.Objects + p.random.IntN(p.scenario.Objects)
	chosen, end := decide(p.wall(), object, p.wall())
	if chosen < 0 {
		p.result.Refused++
		return
	}
	b := p.backends[chosen]
	way := time.Millisecond
	if b.region != region {
		way = p.scenario.FarTrip
	}
	finish := func(o place.Outcome) {
		p.after(way/2, func() { end(p.wall(), o) })
	}
	p.after(way/2, func() {
		v := &visit{object: object, done: func(at time.Duration, warm bool) {
			load := b.load(p.scenario.Slots)
			p.count(at+way/2-started, warm)
			finish(place.Outcome{Result: place.Succeeded, Load: &load, ConnectTime: way})
		}}
		if !b.arrive(p, v) {
			p.result.Failed++
			load := b.load(p.scenario.Slots)
			finish(place.Outcome{Result: place.Shed, Load: &load, ConnectTime: way})
		}
	})
}

func (p *play) count(took time.Duration, warm bool) {
	p.result.Runs++
	if warm {
		p.result.Warm++
	}
	switch {
	case took <= p.scenario.Aim:
		p.result.InAim++
	case took <= p.scenario.Patience:
		p.result.Late++
	default:
		p.result.Failed++
	}
}
