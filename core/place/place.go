// Package place decides which backend server runs a request. It answers a load in which the servers of a service are
// nearly full all day, run an object they know several times faster, and are used by hosts that do not talk about it.
//
// Each choice is given a cost in time: the wait for a slot, the run, the way there, and what the weights add. Hosts
// agree on where an object lives by rendezvous hashing over the servers of a group: the own region, or its zones if
// their servers can remember all objects, and each other region. A longer queue there outweighs the faster run, but a
// run elsewhere keeps a slot from others for longer and makes them wait.
//
// A request that would be late is taken only where a slot is free, since it would make others late that still can be in
// time; otherwise it is refused at once.
package place

import (
	"math/rand/v2"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
)

// Place is where a host stands.
type Place struct {
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// Load is what a backend server says of itself in an answer.
type Load struct{ Running, Waiting, Slots int }

// Result is how an attempt ended.
type Result int

// Results of attempts.
const (
	Answered    Result = iota // with an answer that is no failure
	Failed                    // with a failure of the server's own
	Shed                      // refused by the server and not run
	Unreachable               // no connection came about
	Broken                    // the connection broke after the request was sent
	Silent                    // no answer came in time
	Abandoned                 // the caller left
	Misdirected               // another process answered at the address
)

// Outcome is what an attempt showed of its server.
type Outcome struct {
	Result Result
	Load   *Load // nil when the answer did not say
	// Connected is how long a new connection took to open, zero when one was used again.
	Connected time.Duration
}

// Query is what a request asks of a pick.
type Query struct {
	Service  ident.Service
	Version  ident.Version // the only one allowed, empty for any
	Route    ident.Route
	Object   ident.Object   // empty when it does not matter where the request runs
	Aim      time.Duration  // latency target
	Started  time.Time      // the target counts from it
	Rank     int            // 0 for the most urgent
	Bytes    float64        // of the body and of the answer
	Deadline time.Time      // no answer is of use after it
	Homes    []ident.Region // regions where the request may run, when Limited
	Limited  bool
	Tried    []ident.BackendServer
}

// Settings are what a board knows from the start.
type Settings struct {
	Place   Place
	Weights Weights
	// Random returns a number from 0 up to n; it spreads choices of equal cost.
	Random func(n int64) int64
	// Warms tells whether this host is the one that sends requests to the server while it is cold.
	Warms func(ident.BackendServer) bool
}

// Board holds the backend servers of all services.
type Board struct {
	settings Settings
	spill    *spill

	mu     sync.RWMutex
	shards map[ident.Service]*shard
}

// shard holds the backend servers of one service.
type shard struct {
	mu      sync.Mutex
	servers []*server
	works   map[ident.Route]*work
	mean    time.Duration // of all runs
	objects objects
}

// New returns a board without servers.
func New(s Settings) *Board {
	if s.Random == nil {
		s.Random = rand.Int64N
	}
	return &Board{settings: s, spill: newSpill(), shards: map[ident.Service]*shard{}}
}

// Update takes in the servers that may be used now, with the rate that cold servers of each service bear. What is
// known of processes that remain is kept.
func (b *Board) Update(list []roster.Entry, coldRate func(ident.Service) float64) {
	byService := map[ident.Service][]roster.Entry{}
	for _, e := range list {
		byService[e.Service] = append(byService[e.Service], e)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range byService {
		if b.shards[service] == nil {
			b.shards[service] = &shard{works: map[ident.Route]*work{}, objects: newObjects()}
		}
	}
	for service, s := range b.shards {
		s.update(byService[service], coldRate(service))
	}
	slots := map[ident.Region]float64{}
	for _, e := range list {
		slots[e.Region] += float64(e.Slots)
	}
	b.spill.begin(b.settings.Place.Region, slots)
}

func (s *shard) update(list []roster.Entry, coldRate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := map[ident.BackendServer]*server{}
	for _, old := range s.servers {
		known[old.ID] = old
	}
	s.servers = s.servers[:0]
	for _, e := range list {
		old := known[e.ID]
		if old == nil || old.StartMillis != e.StartMillis || old.Address != e.Address {
			s.servers = append(s.servers, newServer(e, coldRate))
			continue
		}
		slots := old.Slots
		old.Entry, old.coldRate = e, coldRate
		if !old.reported.IsZero() {
			old.Slots = slots // what answers state is newer
		}
		s.servers = append(s.servers, old)
	}
}

func (b *Board) shard(service ident.Service) *shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.shards[service]
}

func (s *shard) workOf(r ident.Route) *work {
	w := s.works[r]
	if w == nil {
		w = &work{}
		s.works[r] = w
	}
	return w
}
