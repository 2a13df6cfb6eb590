package canary

import (
	"math/rand/v2"
	"sync"
	"time"

	"jayshift/core/ident"
)

// Gate selects the requests of each service that go to its new version.
//
// While the version is on trial, this host may send it as many requests as the trial allows (see Trial). A version that
// is proved gets a share of the requests. It counts them instead of drawing random numbers, so that the version never
// gets much more than its share by chance.
type Gate struct {
	// Random returns a number from 0 to 1; rand.Float64 unless it is set before the first use.
	Random func() float64

	mu       sync.Mutex
	services map[ident.Service]*passage
}

// TrialID identifies a list of hosts that share the requests of a trial.
type TrialID struct {
	Move string
	List int // number of the list among those of the move, from 1
}

// passage is what the gate lets pass of one service.
type passage struct {
	version  ident.Version
	until    time.Time // end of the permission, which must be renewed; zero for no end
	trial    TrialID   // zero for a version that is proved
	rise     rise      // requests that may pass while the version is on trial
	next     float64   // how far the rise must be above passed for the next request, from 0 to 1
	share    float64   // of the requests, of a version that is proved
	requests float64   // counted since the share was set, with a random start so that hosts do not pass their first ones together
	passed   float64   // of these, or since the trial began
}

// mayPass reports whether the permission holds at the time.
func (p *passage) mayPass(now time.Time) bool {
	return p != nil && (p.until.IsZero() || now.Before(p.until))
}

// Choice is the backend version that a request is sent to.
type Choice struct {
	Version ident.Version // empty for any
	New     bool          // the service is being moved to the version
	Only    bool          // no other version may get the request: the move ends once none does
}

// NewGate returns a gate that sends no requests to new versions.
func NewGate() *Gate { return &Gate{Random: rand.Float64, services: map[ident.Service]*passage{}} }

// Set lets a share of the requests of a service pass to a proved version, from 0 to 1, until the given time (zero for no
// end).
func (g *Gate) Set(service ident.Service, version ident.Version, share float64, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.services[service]
	if p == nil || p.version != version || p.trial != (TrialID{}) || p.share != share {
		p = &passage{version: version, share: share, requests: g.Random() / max(share, minShare)}
		g.services[service] = p
	}
	p.until = until
}

// minShare bounds the random start of the count of requests.
const minShare = 0.01

// SetTrial lets requests of a service pass to a version on trial until the given time: allowed ones since the first call
// for this trial.
func (g *Gate) SetTrial(now time.Time, service ident.Service, version ident.Version, trial TrialID, allowed int, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.services[service]
	if p == nil || p.version != version || p.trial != trial {
		p = &passage{version: version, trial: trial, next: 1 - g.Random()}
		g.services[service] = p
	}
	p.rise, p.until = p.rise.to(now, float64(allowed)), until
}

// riseTime is the time over which a higher number of allowed requests takes effect, at random moments: requests that hosts
// send together at the start of each period would not be comparable with those of the old version.
const riseTime = 250 * time.Millisecond

// rise is a number that rises evenly.
type rise struct {
	from, end float64
	since     time.Time
}

// to returns a rise from the present value. A lower end takes effect at once.
func (r rise) to(now time.Time, end float64) rise {
	return rise{from: min(r.at(now), end), end: end, since: now}
}

func (r rise) at(now time.Time) float64 {
	part := min(max(float64(now.Sub(r.since))/float64(riseTime), 0), 1)
	return r.from + part*(r.end-r.from)
}

// Close stops sending requests of the service to its new version. What has passed is not forgotten while the version is on
// trial.
func (g *Gate) Close(service ident.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.services[service]
	if p != nil && p.trial.List > 0 {
		p.until = closedAt
		return
	}
	delete(g.services, service)
}

// closedAt is an end of a permission that has passed at any time.
var closedAt = time.Unix(0, 1)

// Pass counts a request of the service and reports whether it goes to the new version, which it then returns as the choice. A
// request that is sent again goes to the new version only if that is proved.
func (g *Gate) Pass(now time.Time, service ident.Service, repeated bool) (Choice, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.services[service]
	if !p.mayPass(now) || !p.take(now, repeated, g.Random) {
		return Choice{}, false
	}
	return Choice{Version: p.version, New: true, Only: p.share >= 1}, true
}

func (p *passage) take(now time.Time, repeated bool, random func() float64) bool {
	if p.trial.List > 0 {
		if repeated || p.passed+p.next > p.rise.at(now) {
			return false
		}
		p.passed++
		p.next = 1 - random()
		return true
	}
	p.requests++
	if p.share <= 0 || p.passed+1 > p.share*p.requests+1e-9 {
		return false
	}
	p.passed++
	return true
}

// Return gives back the pass of a request that was not sent to the new version.
func (g *Gate) Return(service ident.Service, version ident.Version) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.services[service]; p != nil && p.version == version && p.passed > 0 {
		p.passed--
	}
}

// Open reports whether requests of the service may be sent to the version as the new one.
func (g *Gate) Open(now time.Time, service ident.Service, version ident.Version) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.services[service]
	return p.mayPass(now) && p.version == version
}
