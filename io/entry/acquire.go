package entry

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/route"
	"jayshift/core/share"
)

// heldSlot is the slot that an attempt holds while it runs. release returns it.
type heldSlot struct {
	slot    share.Slot
	release func()
}

// acquire picks a backend server and takes one of its slots. If all are busy, the request waits in the service's fair
// queue for up to maxQueueWait.
func (e *Entry) acquire(q *request) (route.Choice, heldSlot, *problem) {
	state := e.state(q.service.Name)
	queue := state.queue
	if queue.Length() == 0 {
		if choice, held, ok := e.tryAcquire(q); ok {
			queue.RecordServed(time.Now())
			return choice, held, nil
		}
	}
	if !e.hasServer(q) {
		return route.Choice{}, heldSlot{}, e.noServerProblem(q)
	}
	if p := e.allRest(q); p != nil {
		return route.Choice{}, heldSlot{}, p
	}
	maxWait := min(maxQueueWait, time.Until(q.deadline))
	if wait := e.limitWait(q); wait > maxWait {
		return route.Choice{}, heldSlot{}, limitedProblem(wait)
	}
	waiter, ok := queue.Enqueue(time.Now(), q.team, maxWait)
	if !ok {
		return route.Choice{}, heldSlot{}, busyProblem()
	}
	state.startPolling()
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	for {
		select {
		case <-waiter.Ready:
		case <-timer.C:
			queue.Remove(waiter)
			return route.Choice{}, heldSlot{}, e.noServerProblem(q)
		case <-q.ctx.Done():
			queue.Remove(waiter)
			return route.Choice{}, heldSlot{}, busyProblem()
		}
		if choice, held, ok := e.tryAcquire(q); ok {
			queue.RecordServed(time.Now())
			queue.WakeNext() // more slots may be free
			return choice, held, nil
		}
		if p := e.allRest(q); p != nil {
			return route.Choice{}, heldSlot{}, p
		}
		queue.Requeue(waiter)
	}
}

// hasServer reports whether any server of the request's version is registered.
func (e *Entry) hasServer(q *request) bool {
	return slices.ContainsFunc(e.deps.Pool.Servers(q.service.Name), func(s *route.Server) bool { return s.Version == q.version })
}

// startPolling starts a goroutine, unless one is running, that wakes one waiting request every queuePollPeriod until
// the queue is empty. Polling is needed because peers do not notify this host when slots become free there.
func (s *serviceState) startPolling() {
	if !s.polling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		ticker := time.NewTicker(queuePollPeriod)
		defer ticker.Stop()
		for range ticker.C {
			if s.queue.Length() == 0 {
				break
			}
			s.queue.WakeNext()
		}
		s.polling.Store(false)
		if s.queue.Length() > 0 {
			s.startPolling() // a request joined after the last check of the queue
		}
	}()
}

func busyProblem() *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindBusy, title: "all backend servers are busy",
		notRun: true, retryAfter: busyRetryAfter, noRetry: true,
	}
}

// noServerProblem returns the problem for a request that got no slot in time: busy if any backend server of the service
// is running requests of this host, otherwise unavailable.
func (e *Entry) noServerProblem(q *request) *problem {
	p := busyProblem()
	for _, s := range e.deps.Pool.Servers(q.service.Name) {
		if s.InFlight() > 0 {
			return p
		}
	}
	p.kind = kindUnavailable
	p.title = "no backend server is available"
	p.retryAfter = unavailableRetryAfter
	return p
}

// tryAcquire picks a backend server and takes one of its slots and one request of its region's capacity. It tries
// further servers until one has both, and returns false if none has.
func (e *Entry) tryAcquire(q *request) (route.Choice, heldSlot, bool) {
	excluded := map[ident.BackendServer]bool{}
	for {
		choice, ok := route.Pick(time.Now(), e.deps.Pool.Servers(q.service.Name), e.routeQuery(q, excluded))
		if !ok {
			return route.Choice{}, heldSlot{}, false
		}
		name := choice.Server.Name
		excluded[name] = true
		quantity := share.ServerQuantity(name)
		slot, err := e.deps.Loans.AcquireSlot(q.ctx, quantity, q.deadline)
		if err != nil {
			if q.ctx.Err() != nil {
				return route.Choice{}, heldSlot{}, false
			}
			continue
		}
		if _, resting := e.restEnd(choice.Server); resting || !e.deps.Limits.Take(time.Now(), limitKey(choice.Server)) {
			e.deps.Loans.ReleaseSlot(quantity, slot)
			continue
		}
		if !e.takeRegionCapacity(q, choice.Server.Region) {
			e.deps.Loans.ReleaseSlot(quantity, slot)
			excludeRegion(excluded, e.deps.Pool.Servers(q.service.Name), choice.Server.Region)
			continue
		}
		return choice, heldSlot{slot: slot, release: func() {
			e.deps.Loans.ReleaseSlot(quantity, slot)
			e.state(q.service.Name).queue.WakeNext()
		}}, true
	}
}

// excludeRegion adds all servers of the region to excluded.
func excludeRegion(excluded map[ident.BackendServer]bool, servers []*route.Server, region ident.Region) {
	for _, s := range servers {
		if s.Region == region {
			excluded[s.Name] = true
		}
	}
}

// routeQuery returns the constraints on the choice of a backend server.
func (e *Entry) routeQuery(q *request, excluded map[ident.BackendServer]bool) route.Query {
	return route.Query{
		Snapshot: q.snapshot, Location: e.deps.Location, Version: q.version,
		LocalSlots:  func(b ident.BackendServer) int { return e.deps.Loans.Available(share.ServerQuantity(b)) },
		Skip:        func(b ident.BackendServer) bool { return excluded[b] || q.tried[b] },
		Wait:        e.serverWait,
		Exhausted:   func(b ident.BackendServer) bool { return e.deps.Loans.SlotsExhausted(share.ServerQuantity(b)) },
		HasCapacity: func(r ident.Region) bool { return !e.linkExhausted(r) },
		IntN:        rand.IntN,
	}
}

// linkExhausted reports whether the byte limit of the link to a region was recently found to be used up in the whole
// fleet. An empty local share alone does not count: peers may hold the rest of the limit, and this host borrows from
// them only when it sends requests over the link.
func (e *Entry) linkExhausted(r ident.Region) bool {
	pair := config.RegionPair{From: e.deps.Location.Region, To: r}
	if _, limited := e.deps.Snapshot().Link(pair); !limited {
		return false
	}
	quantity := share.LinkQuantity(pair)
	return e.deps.Loans.Available(quantity) <= 0 && e.deps.Loans.ExhaustedFor(quantity) > 0
}

// takeRegionCapacity charges the request to the capacity limit of the region, if it has one. It returns false if the
// limit is exhausted. Bytes are charged to the link while they are transferred, see throttledReader.
func (e *Entry) takeRegionCapacity(q *request, region ident.Region) bool {
	quantity := share.RegionQuantity(region)
	if e.deps.Loans.HasLimit(quantity) && e.deps.Loans.Take(q.ctx, quantity, share.Unit) != nil {
		return false
	}
	return true
}
