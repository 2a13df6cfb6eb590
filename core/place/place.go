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
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
		if old == nil || old.Born != e.Born || old.Address != e.Address {
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

// Pick returns the server that runs the request at the least cost, or when to come back if none can.
func (b *Board) Pick(now time.Time, q Query) (*Ticket, *Refusal) {
	s := b.shard(q.Service)
	if s == nil {
		return nil, &Refusal{Reason: NoServer, After: noServerAfter}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found := s.cheapest(now, q, &b.settings)
	best := b.within(now, found)
	if best.server == nil {
		return nil, found.refusal
	}
	if v := best.server; q.Object != "" && v.Region == b.settings.Place.Region {
		s.objects.see(now, q.Object).paid += b.settings.Weights.way(b.settings.Place, v, q.Bytes)
	}
	return s.take(now, q, best), nil
}

// within holds the choice to the share of requests that may run in each region.
func (b *Board) within(now time.Time, f findings) candidate {
	if f.best.server == nil {
		return f.resort
	}
	if !f.near {
		return f.best // none of the own region's servers works, so that there is nothing to hold on to
	}
	own := b.settings.Place.Region
	region := b.spill.choose(now, own, f.best.server.Region, func(r ident.Region) bool { return f.regions[r].server != nil })
	return f.regions[region]
}

// candidate is a server with what a choice of it would cost.
type candidate struct {
	server *server
	cost   time.Duration
	answer time.Duration // until the answer is back
	wait   time.Duration // until the run
	run    time.Duration
	warm   bool // by what this host ran there, or since the object lives there
	known  bool // by what this host ran there
}

// findings are the cheapest servers for a request.
type findings struct {
	best    candidate                  // of all
	regions map[ident.Region]candidate // in each region
	resort  candidate                  // among paused ones, the one that waited longest and may work again
	near    bool                       // the own region has a server that may run such requests, if not now
	refusal *Refusal
}

// cheapest compares all servers that may run the request. The shard is locked.
func (s *shard) cheapest(now time.Time, q Query, settings *Settings) findings {
	f := findings{regions: map[ident.Region]candidate{}, refusal: &Refusal{Reason: NoServer, After: noServerAfter}}
	lives := s.homes(now, q, settings.Place)
	w := s.workOf(q.Route)
	for _, v := range s.servers {
		if !v.suits(q) {
			continue
		}
		v.faded(now)
		c := s.weigh(now, q, settings, v, w, lives)
		paused := now.Before(v.paused) || v.probing
		f.near = f.near || v.Region == settings.Place.Region && !paused && !v.isCold(now)
		if reason, after := s.excludes(now, q, settings, c); reason != "" {
			f.refusal.add(reason, after)
			continue
		}
		if paused {
			f.setResort(c)
			continue
		}
		f.set(c)
	}
	return f
}

func (f *findings) set(c candidate) {
	if f.best.server == nil || c.cost < f.best.cost {
		f.best = c
	}
	if r, ok := f.regions[c.server.Region]; !ok || c.cost < r.cost {
		f.regions[c.server.Region] = c
	}
}

func (f *findings) setResort(c candidate) {
	if c.server.probing {
		return
	}
	if f.resort.server == nil || c.server.paused.Before(f.resort.server.paused) {
		f.resort = c
	}
}

// suits tells whether the server may ever run the request.
func (s *server) suits(q Query) bool {
	if s.Draining || s.gone || q.Version != "" && s.Version != q.Version {
		return false
	}
	if q.Limited && !slices.Contains(q.Homes, s.Region) {
		return false
	}
	return !slices.Contains(q.Tried, s.ID)
}

// weigh works out what a choice of the server costs.
func (s *shard) weigh(now time.Time, q Query, settings *Settings, v *server, w *work, lives []*server) candidate {
	c := candidate{server: v}
	c.known = q.Object == "" || v.knows(now, q.Object)
	c.warm = c.known || slices.Contains(lives, v)
	run := w.expected(c.warm, q.Aim)
	c.run = time.Duration(v.slow * float64(run))
	if v.isCold(now) {
		c.run *= 2
	}
	c.wait = v.wait(s.meanWork(c.run))
	c.answer = c.wait + c.run
	if v.Region != settings.Place.Region {
		c.answer += v.roundTrip()
	}
	c.cost = c.wait + c.run + settings.Weights.way(settings.Place, v, q.Bytes)
	c.cost += time.Duration(v.failing * float64(settings.Weights.Failure))
	c.cost += time.Duration(v.busy() * float64(run-w.expected(true, q.Aim))) // what others wait longer
	c.cost += time.Duration(settings.Random(int64(time.Millisecond)))
	return c
}

func (s *shard) meanWork(fallback time.Duration) time.Duration {
	if s.mean == 0 {
		return fallback
	}
	return s.mean
}

// excludes returns why the server cannot take the request now, and when it may.
func (s *shard) excludes(now time.Time, q Query, settings *Settings, c candidate) (Reason, time.Duration) {
	v := c.server
	room := settings.Weights.room(v.Slots, q.Rank)
	if !c.warm {
		room = settings.Weights.Stray * float64(v.Slots)
	}
	if over := v.load() + 1 - room; over > 0 {
		return Full, s.drain(v, over, c.run)
	}
	if over := now.Add(c.answer).Sub(q.Deadline); over > 0 {
		return Late, over
	}
	if over := v.load() + 1 - float64(v.Slots); over > 0 && now.Add(c.answer).After(q.Started.Add(q.Aim)) {
		return Full, s.drain(v, over, c.run)
	}
	if v.isCold(now) && (!settings.Warms(v.ID) || !v.coldRoom(now)) {
		return Cold, v.ColdUntil.Sub(now)
	}
	return "", 0
}

// drain estimates how long the server takes to end so many requests.
func (s *shard) drain(v *server, requests float64, run time.Duration) time.Duration {
	return time.Duration(requests * float64(s.meanWork(run)) / float64(v.Slots))
}

// homes returns the servers where the object lives, one for each group.
func (s *shard) homes(now time.Time, q Query, from Place) []*server {
	if q.Object == "" {
		return nil
	}
	type best struct {
		server *server
		score  uint64
	}
	byZone := s.livesInZone(now, q, from)
	object := xxhash.Sum64String(string(q.Object))
	groups := map[group]best{}
	for _, v := range s.servers {
		if !v.suits(Query{Version: q.Version, Homes: q.Homes, Limited: q.Limited}) || v.isCold(now) {
			continue
		}
		g := group{region: v.Region}
		if byZone && v.Region == from.Region {
			g.zone = v.Zone
		}
		score := mix(object ^ v.hash)
		if b, ok := groups[g]; !ok || score > b.score {
			groups[g] = best{v, score}
		}
	}
	list := make([]*server, 0, len(groups))
	for _, g := range groups {
		list = append(list, g.server)
	}
	return list
}

// group is a set of servers among which an object lives at one.
type group struct {
	region ident.Region
	zone   ident.AvailabilityZone // empty for all of the region
}

// livesInZone tells whether the object lives at a server of the own zone: once its runs in other zones have cost as much
// as a run at a server that does not know it, if the own zone's servers can remember all objects.
func (s *shard) livesInZone(now time.Time, q Query, from Place) bool {
	o := s.objects.see(now, q.Object)
	w := s.workOf(q.Route)
	if o.paid < w.expected(false, q.Aim)-w.expected(true, q.Aim) {
		return false
	}
	servers := 0
	for _, v := range s.servers {
		if v.Zone == from.Zone && !v.Draining && !v.isCold(now) && (q.Version == "" || v.Version == q.Version) {
			servers++
		}
	}
	return servers > 0 && s.objects.fit(servers)
}

// mix spreads the bits of a hash, so that scores of one object at several servers are independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func (s *shard) workOf(r ident.Route) *work {
	w := s.works[r]
	if w == nil {
		w = &work{}
		s.works[r] = w
	}
	return w
}

// Check tells whether a pick would find a server now, without taking a place there; nil when it would.
func (b *Board) Check(now time.Time, q Query) *Refusal {
	s := b.shard(q.Service)
	if s == nil {
		return &Refusal{Reason: NoServer, After: noServerAfter}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f := s.cheapest(now, q, &b.settings); f.best.server == nil && f.resort.server == nil {
		return f.refusal
	}
	return nil
}
