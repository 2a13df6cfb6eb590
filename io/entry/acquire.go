package entry

import (
	"math/rand/v2"
	"net/http"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/route"
	"jayshift/core/share"
)

// grant is what an attempt holds while it runs.
type grant struct {
	slot    share.Slot
	release func()
}

// acquire finds a backend server with a free slot, waiting in the fair queue when all are busy.
func (e *Entry) acquire(q *request) (route.Choice, grant, *problem) {
	shared := e.lane(q.service.Name)
	line := shared.queue
	if line.Length() == 0 {
		if c, g, ok := e.tryAcquire(q); ok {
			line.Served(time.Now())
			return c, g, nil
		}
	}
	patience := min(queueWait, time.Until(q.deadline))
	ticket, ok := line.Join(time.Now(), q.team, patience)
	if !ok {
		return route.Choice{}, grant{}, busyProblem()
	}
	shared.pump()
	limit := time.NewTimer(patience)
	defer limit.Stop()
	for {
		select {
		case <-ticket.Ready:
		case <-limit.C:
			line.Leave(ticket)
			return route.Choice{}, grant{}, e.noServer(q)
		case <-q.ctx.Done():
			line.Leave(ticket)
			return route.Choice{}, grant{}, busyProblem()
		}
		if c, g, ok := e.tryAcquire(q); ok {
			line.Served(time.Now())
			line.Wake() // there may be more
			return c, g, nil
		}
		line.Rejoin(ticket)
	}
}

// pump lets one waiting request try every few milliseconds, since slots may come free at peers, until none waits.
func (l *lane) pump() {
	if !l.pumping.CompareAndSwap(false, true) {
		return
	}
	go func() {
		ticker := time.NewTicker(queuePoll)
		defer ticker.Stop()
		for range ticker.C {
			if l.queue.Length() == 0 {
				break
			}
			l.queue.Wake()
		}
		l.pumping.Store(false)
		if l.queue.Length() > 0 {
			l.pump() // one joined between the last look and the end
		}
	}()
}

func busyProblem() *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindBusy, title: "all backend servers are busy",
		notRun: true, after: busyAfter, final: true,
	}
}

// noServer tells apart a service without usable backend servers from one that is busy.
func (e *Entry) noServer(q *request) *problem {
	p := busyProblem()
	for _, s := range e.seams.Pool.Servers(q.service.Name) {
		if s.InFlight() > 0 {
			return p
		}
	}
	p.kind = kindUnavailable
	p.title = "no backend server is available"
	p.after = unavailAfter
	return p
}

// tryAcquire picks a server and takes a slot, and what its region and the link to it allow.
func (e *Entry) tryAcquire(q *request) (route.Choice, grant, bool) {
	refused := map[ident.BackendServer]bool{}
	for {
		choice, ok := route.Pick(time.Now(), e.seams.Pool.Servers(q.service.Name), e.query(q, refused))
		if !ok {
			return route.Choice{}, grant{}, false
		}
		name := choice.Server.Name
		refused[name] = true
		quantity := share.ServerQuantity(name)
		slot, err := e.seams.Loans.AcquireSlot(q.ctx, quantity, q.deadline)
		if err != nil {
			if q.ctx.Err() != nil {
				return route.Choice{}, grant{}, false
			}
			continue
		}
		if !e.takeRoom(q, choice.Server.Region) {
			e.seams.Loans.ReleaseSlot(quantity, slot)
			refusedRegion(refused, e.seams.Pool.Servers(q.service.Name), choice.Server.Region)
			continue
		}
		return choice, grant{slot: slot, release: func() {
			e.seams.Loans.ReleaseSlot(quantity, slot)
			e.lane(q.service.Name).queue.Wake()
		}}, true
	}
}

func refusedRegion(refused map[ident.BackendServer]bool, servers []*route.Server, region ident.Region) {
	for _, s := range servers {
		if s.Region == region {
			refused[s.Name] = true
		}
	}
}

func (e *Entry) query(q *request, refused map[ident.BackendServer]bool) route.Query {
	return route.Query{
		Snapshot: q.snapshot, Place: e.seams.Place, Version: q.version,
		Spare:  func(b ident.BackendServer) int { return e.seams.Loans.Available(share.ServerQuantity(b)) },
		Skip:   func(b ident.BackendServer) bool { return refused[b] || q.tried[b] },
		Empty:  func(b ident.BackendServer) bool { return e.seams.Loans.SlotsExhausted(share.ServerQuantity(b)) },
		Room:   func(r ident.Region) bool { return !e.linkFull(r) },
		Random: rand.IntN,
	}
}

// linkFull tells whether the link to a region was found to have used up its bytes. A share that is empty here may be
// elsewhere: nobody would fetch it if that alone kept requests away.
func (e *Entry) linkFull(r ident.Region) bool {
	pair := config.RegionPair{From: e.seams.Place.Region, To: r}
	if _, limited := e.seams.Snapshot().Link(pair); !limited {
		return false
	}
	quantity := share.LinkQuantity(pair)
	return e.seams.Loans.Available(quantity) <= 0 && e.seams.Loans.ExhaustedFor(quantity) > 0
}

// takeRoom charges the request to the capacity of the region that it goes to, and its known bytes to the link there.
func (e *Entry) takeRoom(q *request, region ident.Region) bool {
	quantity := share.RegionQuantity(region)
	if e.seams.Loans.HasLimit(quantity) && e.seams.Loans.Take(q.ctx, quantity, share.Unit) != nil {
		return false
	}
	return true
}
