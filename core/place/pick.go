package place

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/region"
)

// Pick returns a reservation at the server with the lowest cost, within the limits on the share of each region. If no
// server can take the request now, it returns a refusal with the time after which to retry.
func (b *Balancer) Pick(now time.Time, q Query) (*Reservation, *Refusal) {
	b.updateSlots(now)
	p := b.pool(q.Service)
	if p == nil {
		return nil, &Refusal{Reason: NoServer, RetryAfter: NoServerRetryAfter}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	selected := p.cheapest(now, q, &b.settings)
	chosen, cause := b.limitRegion(now, q, selected)
	if chosen.server == nil {
		b.recordRefused(now, p, q)
		return nil, selected.refusal
	}
	b.recordDemand(now, q, chosen.run, chosen.server.Region)
	if srv := chosen.server; q.Object != "" && srv.Region == b.settings.Location.Region {
		p.objects.observe(now, q.Object).crossZoneCost += b.settings.Weights.transferCost(b.settings.Location, srv, q.Bytes)
	}
	b.runs.Record(chosen.server.Region, cause)
	b.settings.Limits.Take(now, chosen.server.limitKey())
	return p.reserve(now, q, chosen, &b.settings), nil
}

// TakeRuns returns the number of runs by region and cause since the last call.
func (b *Balancer) TakeRuns() []region.Count { return b.runs.Take() }

// limitRegion returns the cheapest server in the region that the region limiter chooses, and why it chooses that.
func (b *Balancer) limitRegion(now time.Time, q Query, s selection) (candidate, region.Cause) {
	if s.best.server == nil {
		return s.fallback, region.Lost
	}
	chosen, cause, ok := b.regions.Choose(now, region.Request{
		Cheapest: s.best.server.Region, Restricted: q.Restricted, Object: q.Object,
		Usable: func(r ident.Region) bool { return s.usable[r] },
		Room:   func(r ident.Region) bool { return s.byRegion[r].server != nil },
	})
	if !ok {
		return candidate{}, cause
	}
	return s.byRegion[chosen], cause
}

// candidate is a server with the estimated cost of sending the request to it.
type candidate struct {
	server      *server
	cost        time.Duration
	latency     time.Duration // expected time until the response arrives
	wait        time.Duration // expected time until the run starts
	run         time.Duration // expected run time
	warm        bool          // ranRecently, or the object is assigned to the server
	ranRecently bool          // the object ran there recently for this host, or the request has no object
}

// selection holds the cheapest servers for a request.
type selection struct {
	best     candidate                  // of all servers
	byRegion map[ident.Region]candidate // the cheapest server in each region
	fallback candidate                  // the paused server whose pause ends first, if best is empty
	usable   map[ident.Region]bool      // regions with an eligible server that is neither paused nor cold nor limited, but may be full
	refusal  *Refusal
}

// cheapest compares all servers that may run the request. The pool must be locked.
func (p *pool) cheapest(now time.Time, q Query, settings *Settings) selection {
	s := selection{byRegion: map[ident.Region]candidate{}, usable: map[ident.Region]bool{}, refusal: &Refusal{Reason: NoServer, RetryAfter: NoServerRetryAfter}}
	assigned := p.assignedServers(now, q, settings)
	rt := p.runTimeOf(q.Route)
	for _, srv := range p.servers {
		if !srv.eligible(q) {
			continue
		}
		if end, resting := settings.Rests.End(now, srv.restKey()); resting {
			srv.rested = true
			s.refusal.add(Resting, end.Sub(now))
			continue
		}
		if slices.Contains(q.Attempted, srv.ID) {
			continue
		}
		srv.decayLoad(now)
		c := p.estimate(now, q, settings, srv, rt, assigned)
		paused := now.Before(srv.pausedUntil) || srv.probing
		_, limited := settings.Limits.Named(srv.limitKey())
		s.usable[srv.Region] = s.usable[srv.Region] || !paused && !limited && !srv.isCold(now)
		if reason, retryAfter := p.exclusion(now, q, settings, c); reason != "" {
			s.refusal.add(reason, retryAfter)
			continue
		}
		if paused {
			s.addPaused(c)
			continue
		}
		s.add(c)
	}
	return s
}

func (s *selection) add(c candidate) {
	if s.best.server == nil || c.cost < s.best.cost {
		s.best = c
	}
	if r, ok := s.byRegion[c.server.Region]; !ok || c.cost < r.cost {
		s.byRegion[c.server.Region] = c
	}
}

func (s *selection) addPaused(c candidate) {
	if c.server.probing {
		return
	}
	if s.fallback.server == nil || c.server.pausedUntil.Before(s.fallback.server.pausedUntil) {
		s.fallback = c
	}
}

// eligible reports whether the server may run the request, regardless of its load and of earlier attempts.
func (s *server) eligible(q Query) bool {
	if s.Draining || s.misdirected || q.Version != "" && s.Version != q.Version {
		return false
	}
	return !q.Restricted || slices.Contains(q.AllowedRegions, s.Region)
}

// estimate returns the server as a candidate with its expected times and its cost.
func (p *pool) estimate(now time.Time, q Query, settings *Settings, srv *server, rt *runTime, assigned []*server) candidate {
	c := candidate{server: srv}
	c.ranRecently = q.Object == "" || srv.ranRecently(now, q.Object)
	c.warm = c.ranRecently || slices.Contains(assigned, srv)
	run := rt.expected(c.warm, q.LatencyTarget)
	if settings.Paces != nil {
		srv.estimate = settings.Paces.Estimate(now, srv.paceKey(), q.Service, srv.Slots)
	}
	c.run = time.Duration(srv.slowdown() * srv.currentPace(now) * float64(run))
	if srv.isCold(now) {
		c.run *= 2
	}
	c.wait = srv.expectedWait(now, p.meanRunOr(c.run))
	c.latency = c.wait + c.run
	if srv.Region != settings.Location.Region {
		c.latency += srv.rtt()
	}
	c.cost = c.wait + settings.Weights.transferCost(settings.Location, srv, q.Bytes)
	c.cost += time.Duration(srv.failureRate * float64(settings.Weights.Failure))
	c.cost += time.Duration(srv.utilization() * float64(run-rt.expected(true, q.LatencyTarget))) // longer wait of other requests
	c.cost += time.Duration(settings.Random(int64(time.Millisecond)))
	c.cost += srv.runCost(c.run, settings)
	return c
}

func (p *pool) meanRunOr(fallback time.Duration) time.Duration {
	if p.meanRun == 0 {
		return fallback
	}
	return p.meanRun
}

// exclusion returns why the server cannot take the request now and after which time to retry, or an empty reason.
func (p *pool) exclusion(now time.Time, q Query, settings *Settings, c candidate) (Reason, time.Duration) {
	srv := c.server
	capacity := settings.Weights.capacity(srv.Slots, q)
	if !c.warm {
		capacity = settings.Weights.unassignedCapacity(srv.Slots, q)
	}
	capacity = srv.limited(capacity, settings.Weights.capacity(srv.Slots, Query{}))
	if srv.refusesExcess(c, q, settings) {
		return Full, p.timeToFinish(srv, 1, c.run)
	}
	load := srv.load()
	if !c.warm {
		load = srv.loadBy(now, p.loads[srv.Region])
	}
	if excess := load + 1 - capacity; excess > 0 {
		return Full, p.timeToFinish(srv, excess, c.run)
	}
	if excess := now.Add(c.latency).Sub(q.Deadline); excess > 0 {
		return Late, excess
	}
	if excess := srv.load() + 1 - float64(srv.Slots); excess > 0 && now.Add(c.latency).After(q.Started.Add(q.LatencyTarget)) {
		return Full, p.timeToFinish(srv, excess, c.run)
	}
	if wait := settings.Limits.Wait(now, srv.limitKey()); wait > 0 {
		return Limited, wait
	}
	if srv.isCold(now) && (!srv.hasColdToken(now) || !settings.WarmsUp(srv.ID)) {
		return Cold, srv.ColdUntil.Sub(now)
	}
	return "", 0
}

// timeToFinish estimates how long the server takes to finish the given number of requests.
func (p *pool) timeToFinish(srv *server, requests float64, run time.Duration) time.Duration {
	return time.Duration(requests * float64(p.meanRunOr(run)) / float64(srv.Slots))
}

// Check returns nil if Pick would find a server now, otherwise the refusal. It reserves nothing.
func (b *Balancer) Check(now time.Time, q Query) *Refusal {
	p := b.pool(q.Service)
	if p == nil {
		return &Refusal{Reason: NoServer, RetryAfter: NoServerRetryAfter}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.cheapest(now, q, &b.settings); s.best.server == nil && s.fallback.server == nil {
		b.recordRefused(now, p, q)
		return s.refusal
	}
	return nil
}
