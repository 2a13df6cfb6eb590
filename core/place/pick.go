package place

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

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
