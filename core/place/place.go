// Package place selects the backend server that runs a request. It is designed for services whose servers are nearly
// full all day and run a request several times faster if they ran its object recently, and for hosts that select servers
// without exchanging their load.
//
// Each server is given a cost, expressed as a time: the wait for a slot, the run time, the network latency, and the
// penalties set by Weights. Hosts assign each object to the same servers by rendezvous hashing, to one server in each
// group: the local region, or each of its zones if the zone's servers can cache all objects, and each other region. A
// long queue at the assigned server can outweigh the faster run there, but a run at another server occupies a slot for
// longer, and makes other requests wait.
//
// A request that would miss its latency target is sent only to a server with a free slot, since queueing it would delay
// requests that can still meet theirs; otherwise it is refused at once.
package place

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/pace"
	"jayshift/core/region"
	"jayshift/core/rest"
	"jayshift/core/roster"
)

// Location is the availability zone and the region of a host.
type Location struct {
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// Load is the load that a backend server reports in a response: running and waiting requests, and its slots.
type Load struct {
	Running, Waiting, Slots int
	// Pace is the time that work takes on the server's machine at this moment, as a multiple of the usual one. It is 0 if
	// the server reports none.
	Pace float64
}

// Result classifies how an attempt ended.
type Result int

// Results of attempts.
const (
	Succeeded   Result = iota // the response is not a failure
	Failed                    // the server responded with a failure
	Shed                      // the server refused the request without running it
	Unreachable               // no connection could be opened
	Broken                    // the connection was lost after the request was sent
	TimedOut                  // no response arrived in time
	Canceled                  // the attempt was canceled, for example because the caller disconnected
	Misdirected               // another process answered at the server's address
)

// Outcome is what an attempt reveals about its server.
type Outcome struct {
	Result Result
	Load   *Load // nil if the response did not report it
	// ConnectTime is the time that it took to open a new connection, zero if an open connection was reused.
	ConnectTime time.Duration
}

// Query describes a request for which a server is to be selected.
type Query struct {
	Service        ident.Service
	Version        ident.Version // the only version allowed, empty for any
	Route          ident.Route
	Object         ident.Object          // what the request is about, empty if no server runs it faster than another
	LatencyTarget  time.Duration         // from Started until the response
	Started        time.Time             // start of the request
	Priority       int                   // 0 for the most urgent, higher for less urgent
	Ranked         bool                  // leave Reserve to other requests, instead of a part of the queue that depends on Priority
	Reserve        float64               // room of each server that the request leaves to others, in requests per slot
	Bytes          float64               // size of the request body and of the response together
	Deadline       time.Time             // the request is refused if the response would arrive later
	AllowedRegions []ident.Region        // regions where the request may run if Restricted, otherwise ignored
	Restricted     bool                  // the request may run only in AllowedRegions
	Attempted      []ident.BackendServer // servers that earlier attempts used, not selected again
}

// Settings configures a Balancer.
type Settings struct {
	Host     ident.Host
	Location Location
	Weights  Weights
	// Random returns a number in [0, n). It spreads requests over servers of equal cost; rand.Int64N if nil.
	Random func(n int64) int64
	// Limits holds the limits that backend servers have named; without limits if nil.
	Limits *limit.Limiter
	// Rests holds the rests that backend servers have asked for; without rests if nil.
	Rests *rest.Book
	// Paces holds what the hosts have observed of the servers' pace; if nil, this host's own run times alone count.
	Paces *pace.Book
	// WarmsUp reports whether this host is the one that sends requests to the server while it is cold.
	WarmsUp func(ident.BackendServer) bool
	// PlanRegions lets the shares of the regions follow a plan of their room.
	PlanRegions bool
}

// Balancer selects among the backend servers of all services. It is safe for concurrent use.
type Balancer struct {
	settings Settings
	regions  *region.Limiter
	runs     region.Tally

	mu    sync.RWMutex
	pools map[ident.Service]*pool

	slotsAt atomic.Int64 // time in nanoseconds from which the slots by region are counted again
}

// pool holds the backend servers of one service.
type pool struct {
	mu       sync.Mutex
	servers  []*server
	runTimes map[ident.Route]*runTime
	unloaded map[ident.Route]*runTime // run times while at most half of a server's slots were in use
	meanRun  time.Duration            // exponentially weighted mean of the expected run times of all requests sent
	objects  objectTracker
	loads    map[ident.Region]*meanLoad // of the servers in a region
}

func newPool() *pool {
	return &pool{
		runTimes: map[ident.Route]*runTime{}, unloaded: map[ident.Route]*runTime{}, objects: newObjectTracker(), loads: map[ident.Region]*meanLoad{},
	}
}

// New returns a balancer without servers.
func New(s Settings) *Balancer {
	if s.Random == nil {
		s.Random = rand.Int64N
	}
	if s.Limits == nil {
		s.Limits = limit.New("", time.Now(), rand.Float64)
	}
	if s.Rests == nil {
		s.Rests = rest.New()
	}
	b := &Balancer{settings: s, regions: region.NewLimiter(s.Host, s.Location.Region), pools: map[ident.Service]*pool{}}
	if s.PlanRegions {
		b.regions.UsePlan()
	}
	return b
}

// Update replaces the list of servers that may be used. The function coldRate returns the rate, in requests per second,
// that a cold server of a service can handle. The measurements of processes that are still listed are retained.
func (b *Balancer) Update(list []roster.Entry, coldRate func(ident.Service) float64) {
	byService := map[ident.Service][]roster.Entry{}
	for _, e := range list {
		byService[e.Service] = append(byService[e.Service], e)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for service := range byService {
		if b.pools[service] == nil {
			b.pools[service] = newPool()
		}
	}
	for service, p := range b.pools {
		p.update(byService[service], coldRate(service))
	}
	slots := map[ident.Region]float64{}
	for _, e := range list {
		slots[e.Region] += float64(e.Slots)
	}
	b.regions.Initialize(slots)
	b.slotsAt.Store(0)
}

// Regions returns the limiter of the regions' shares, for what hosts tell each other of them.
func (b *Balancer) Regions() *region.Limiter { return b.regions }

// Resume ends the pauses of all servers. It is called when a host that was cut off reaches servers again: their faults were
// not their own.
func (b *Balancer) Resume() {
	b.mu.RLock()
	defer b.mu.RUnlock()
	for _, p := range b.pools {
		p.mu.Lock()
		for _, s := range p.servers {
			s.recordSuccess()
		}
		p.mu.Unlock()
	}
}

func (p *pool) update(list []roster.Entry, coldRate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := map[ident.BackendServer]*server{}
	for _, old := range p.servers {
		known[old.ID] = old
	}
	p.servers = p.servers[:0]
	for _, e := range list {
		old := known[e.ID]
		if old == nil || old.StartMillis != e.StartMillis || old.Address != e.Address {
			p.servers = append(p.servers, newServer(e, coldRate))
			continue
		}
		slots := old.Slots
		old.Entry, old.coldRate = e, coldRate
		if !old.reportedAt.IsZero() {
			old.Slots = slots // the number that responses reported is newer than the roster's
		}
		p.servers = append(p.servers, old)
	}
}

func (b *Balancer) pool(service ident.Service) *pool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.pools[service]
}

func (p *pool) runTimeOf(r ident.Route) *runTime { return entryOf(p.runTimes, r) }

func (p *pool) unloadedOf(r ident.Route) *runTime { return entryOf(p.unloaded, r) }

// entryOf returns the run times of the route, which it adds if there are none.
func entryOf(times map[ident.Route]*runTime, r ident.Route) *runTime {
	rt := times[r]
	if rt == nil {
		rt = &runTime{}
		times[r] = rt
	}
	return rt
}
