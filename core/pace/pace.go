// Package pace estimates how fast each backend server runs requests and how many it runs well at the same time.
//
// A host sees few answers of one server, so hosts tell each other what they have observed of the servers that differ most
// from the usual. An observation is the run time of a request relative to the usual one of its route, at the load that the
// server reported with the answer, which counts the requests of all hosts. Observations are summed by load level and lose
// weight with age, so that sums of several hosts add up and a repeated message changes nothing.
//
// The limit of a server is the load up to which its throughput grows: the load divided by the run time at that load. It falls
// as soon as observations show that more requests at the same time only make each of them slower, and grows again as these
// observations age.
package pace

import (
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	memory = 3 * time.Second // time constant of the weight of observations
	// recentMemory is the time constant of the observations that the slowdown is estimated from. It is longer than the moments in
	// which servers are slow, and than the time after which hosts hear of them: with 3 s, hosts left servers that had recovered.
	recentMemory = 6 * time.Second
	lowMemory    = 20 * time.Second       // time constant at the lowest load level, with which the others are compared
	interval     = 200 * time.Millisecond // between two estimates of a service's servers

	maxRatio      = 8.0  // a ratio of run times counts as at most this, and at least its inverse, since single runs vary by chance
	maxPeerWeight = 1.0  // of a peer's observations of one server; a host of a large fleet has fewer, and odd reports count little
	minWeight     = 0.05 // from which observations count

	knownWeight  = 1.0 // observations that count as much as what a host has known of a server for longer
	serverDoubt  = 4.0 // observations of its service's curve that are assumed of each server
	serviceDoubt = 4.0 // observations without any slowdown that are assumed of each service

	minThroughput   = 0.85 // of the highest throughput, which is close to it
	growthPerSecond = 0.15 // of the slots, by which a limit grows
	maxLoadPerSlot  = 4    // a higher load counts as this one, so that odd reports count little
)

// Book holds what is known of the pace of all backend servers. It is safe for concurrent use.
type Book struct {
	mu       sync.Mutex
	hosts    int
	servers  map[Server]*state
	services map[ident.Service]time.Time // of the last estimates
}

// New returns an empty Book.
func New() *Book {
	return &Book{hosts: 1, servers: map[Server]*state{}, services: map[ident.Service]time.Time{}}
}

// SetHosts sets the number of hosts that share what they observe, including this one.
func (b *Book) SetHosts(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.hosts = max(1, n)
}

// Observation is a run that has ended.
type Observation struct {
	Service ident.Service
	Running int // requests that the server ran at the same time, including this one
	Waiting int // requests that waited at the server
	Slots   int
	Ratio   float64 // of the run time to the usual one of the route
}

// Record records a run at a server.
func (b *Book) Record(now time.Time, id Server, o Observation) {
	if o.Ratio <= 0 || o.Slots <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, id, o.Service, o.Slots)
	s.observe(now, o)
}

// RecordRefusal records that the server refused a request, with the load that it reported. Of the observation, the ratio is not
// used.
func (b *Book) RecordRefusal(now time.Time, id Server, o Observation) {
	if o.Slots <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, id, o.Service, o.Slots)
	s.age(now)
	s.observeLoad(o)
}

// state returns the state of a server, which it adds if there is none.
func (b *Book) state(now time.Time, id Server, service ident.Service, slots int) *state {
	s := b.servers[id]
	if s == nil {
		s = &state{agedAt: now, peers: map[ident.Host]told{}}
		b.servers[id] = s
	}
	s.service, s.slots = service, max(1, slots)
	return s
}

// Retain forgets the servers that are not listed any more.
func (b *Book) Retain(listed func(ident.BackendServer, int64) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id := range b.servers {
		if !listed(id.ID, id.Start) {
			delete(b.servers, id)
		}
	}
}

// Estimate returns what is known of the pace of a server with the slots.
func (b *Book) Estimate(now time.Time, id Server, service ident.Service, slots int) Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.state(now, id, service, slots)
	b.update(now, service)
	return s.estimate
}

// update computes the estimates of a service's servers if the last ones are older than interval.
func (b *Book) update(now time.Time, service ident.Service) {
	if at, ok := b.services[service]; ok && now.Sub(at) < interval {
		return
	}
	b.services[service] = now
	var ids []Server
	for id, s := range b.servers {
		if s.service == service {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, compareServers) // so that the sums do not depend on the order of the map
	servers, observed := make([]*state, len(ids)), make([]tallies, len(ids))
	for i, id := range ids {
		servers[i] = b.servers[id]
		observed[i] = servers[i].all(now)
	}
	usual := serviceCurve(observed)
	for i, s := range servers {
		s.update(now, observed[i], usual)
	}
}
