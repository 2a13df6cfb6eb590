package model

import (
	"math/rand/v2"
	"time"

	"jayshift/core/place"
	"jayshift/core/roster"
)

// backend is one backend server.
type backend struct {
	roster.Entry
	region  int
	zone    int
	running int
	waiting []*visit
	objects []int // remembered, the latest last
	slow    float64
}

// visit is one request at a backend server.
type visit struct {
	object int
	done   func(at time.Duration, warm bool)
}

// arrive takes a request in, or refuses it.
func (b *backend) arrive(p *play, v *visit) bool {
	if b.running < p.scenario.Slots {
		b.start(p, v)
		return true
	}
	if len(b.waiting) >= p.scenario.Queue {
		return false
	}
	b.waiting = append(b.waiting, v)
	return true
}

func (b *backend) start(p *play, v *visit) {
	b.running++
	warm := b.remembers(v.object)
	run := p.scenario.Cold
	if warm {
		run = p.scenario.Warm
	}
	run = time.Duration(float64(run) * b.slow * (1 + p.scenario.Spread*p.random.NormFloat64()))
	p.after(max(run, time.Millisecond), func() {
		b.running--
		b.remember(v.object, p.scenario.Remembers)
		v.done(p.now, warm)
		if len(b.waiting) > 0 {
			next := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.start(p, next)
		}
	})
}

func (b *backend) remembers(object int) bool {
	for _, o := range b.objects {
		if o == object {
			return true
		}
	}
	return false
}

func (b *backend) remember(object, most int) {
	kept := b.objects[:0]
	for _, o := range b.objects {
		if o != object {
			kept = append(kept, o)
		}
	}
	b.objects = append(kept, object)
	if len(b.objects) > most {
		b.objects = b.objects[1:]
	}
}

func (b *backend) load(slots int) place.Load {
	return place.Load{Running: b.running, Waiting: len(b.waiting), Slots: slots}
}

// Policy decides which server runs a request; it returns -1 to refuse, and what to call at the end.
type Policy struct {
	Name string
	// New returns the way one host decides.
	New func(p Hosts) Decide
}

// Decide picks a server for a request of a caller in the host's region.
type Decide func(now time.Time, object int, started time.Time) (server int, end func(now time.Time, o place.Outcome))

// Hosts is what a policy may know.
type Hosts struct {
	Entries  []roster.Entry
	Place    place.Location
	Scenario Scenario
	Random   *rand.Rand
}
