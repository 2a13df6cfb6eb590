package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/once"
	"jayshift/core/queue"
	"jayshift/core/retry"
	"jayshift/core/route"
	"jayshift/core/share"
	"jayshift/core/trial"
	"jayshift/io/target"
)

const (
	queueWait       = 500 * time.Millisecond // longest wait for a slot
	queuePoll       = 4 * time.Millisecond
	busyAfter       = 500 * time.Millisecond
	unavailAfter    = 1 * time.Second
	leastAttempt    = 50 * time.Millisecond // time below which a deadline is not split over attempts
	attemptHeader   = "Jayshift-Attempt"
	backendDeadline = "Jayshift-Deadline-Ms"
)

// runResult is what a recorded run keeps of its answer.
type runResult struct {
	whole   bool
	outcome once.Outcome
}

// attemptAll sends the request until an answer was passed on or it may not be sent again.
func (e *Entry) attemptAll(q *request, result *runResult) *problem {
	budget := e.budget(q.service.Name)
	budget.First()
	for {
		last, p := e.attempt(q, result)
		if p == nil {
			return nil
		}
		again := retry.Request{Idempotent: q.idempotent(), Replayable: q.body.replayable(), Attempts: q.attempts, Deadline: q.deadline}
		if e.seams.Poison.Refused(time.Now(), q.print) {
			return poisonProblem()
		}
		if q.ctx.Err() != nil || p.final || !budget.Allowed(time.Now(), again, last) {
			return p
		}
	}
}

// attempt sends the request to one backend server. The result tells whether it may have run, for a problem.
func (e *Entry) attempt(q *request, result *runResult) (retry.Result, *problem) {
	choice, grant, p := e.acquire(q)
	if p != nil {
		p.notRun = !q.mayHaveRun
		return retry.NotRun, p
	}
	defer grant.release()
	if p := e.ready(q); p != nil {
		p.notRun = !q.mayHaveRun
		return retry.NotRun, p
	}
	q.attempts++
	name := choice.Server.Name
	q.tried[name] = true
	ctx, cancel := context.WithDeadline(q.ctx, e.attemptDeadline(q, grant.slot))
	defer cancel()
	choice.Server.Start()
	started := time.Now()
	response, err := e.seams.Pool.Do(name, e.outgoing(ctx, q, choice.Server.Server))
	if err != nil {
		return e.failed(q, choice.Server, err, started)
	}
	defer response.Body.Close()
	return e.answered(q, choice.Server, response, started, result)
}

// ready makes sure, just before the request is sent, that it is charged and that this host still may serve:
// the request may have waited, and the host may have been paused.
func (e *Entry) ready(q *request) *problem {
	if p := e.ensureCharged(q); p != nil {
		return p
	}
	return e.checkServing()
}

// attemptDeadline leaves time for another attempt when the request may be sent again.
func (e *Entry) attemptDeadline(q *request, slot share.Slot) time.Time {
	deadline := q.deadline
	if !slot.Deadline.IsZero() && slot.Deadline.Before(deadline) {
		deadline = slot.Deadline
	}
	left := time.Until(deadline)
	if q.idempotent() && q.body.replayable() && q.attempts == 1 && left > 2*leastAttempt {
		return time.Now().Add(left / 2)
	}
	return deadline
}

// grant is what an attempt holds while it runs.
type grant struct {
	slot    share.Slot
	release func()
}

// acquire finds a backend server with a free slot, waiting in the fair queue when all are busy.
func (e *Entry) acquire(q *request) (route.Choice, grant, *problem) {
	line := e.queue(q.service.Name)
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
	e.pump(q.service.Name, line)
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
func (e *Entry) pump(name ident.Service, line *queue.Queue) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pumping[name] {
		return
	}
	e.pumping[name] = true
	go func() {
		ticker := time.NewTicker(queuePoll)
		defer ticker.Stop()
		for range ticker.C {
			if e.idle(name, line) {
				return
			}
			line.Wake()
		}
	}()
}

// idle ends the pump when no request waits.
func (e *Entry) idle(name ident.Service, line *queue.Queue) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if line.Length() > 0 {
		return false
	}
	e.pumping[name] = false
	return true
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
		quantity := share.Server(name)
		slot, err := e.seams.Loans.Slot(q.ctx, quantity, q.deadline)
		if err != nil {
			if q.ctx.Err() != nil {
				return route.Choice{}, grant{}, false
			}
			continue
		}
		if !e.takeRoom(q, choice.Server.Region) {
			e.seams.Loans.FreeSlot(quantity, slot)
			refusedRegion(refused, e.seams.Pool.Servers(q.service.Name), choice.Server.Region)
			continue
		}
		return choice, grant{slot: slot, release: func() {
			e.seams.Loans.FreeSlot(quantity, slot)
			e.queue(q.service.Name).Wake()
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
		Spare:  func(b ident.BackendServer) int { return e.seams.Loans.Spare(share.Server(b)) },
		Skip:   func(b ident.BackendServer) bool { return refused[b] || q.tried[b] },
		Empty:  func(b ident.BackendServer) bool { return e.seams.Loans.SlotsEmpty(share.Server(b)) },
		Room:   func(r ident.Region) bool { return !e.linkFull(r) },
		Random: rand.IntN,
	}
}

// linkFull tells whether the link to a region has used up its bytes.
func (e *Entry) linkFull(r ident.Region) bool {
	pair := config.RegionPair{From: e.seams.Place.Region, To: r}
	if _, limited := e.seams.Snapshot().Link(pair); !limited {
		return false
	}
	return e.seams.Loans.Spare(share.Link(pair)) <= 0
}

// takeRoom charges the request to the capacity of the region that it goes to, and its known bytes to the link there.
func (e *Entry) takeRoom(q *request, region ident.Region) bool {
	quantity := share.Region(region)
	if e.seams.Loans.Limited(quantity) && e.seams.Loans.Take(q.ctx, quantity, share.Unit) != nil {
		return false
	}
	return true
}

// outgoing builds the request that the backend server sees: without the caller's key, with the time that is left.
func (e *Entry) outgoing(ctx context.Context, q *request, server config.Server) *http.Request {
	out := q.r.Clone(ctx)
	out.URL.Scheme = "http"
	out.URL.Host = server.Address
	out.RequestURI = ""
	out.Close = false
	stripHeaders(out.Header)
	for _, name := range []string{"Authorization", "Cookie", "Proxy-Authorization", deadlineHeader} {
		out.Header.Del(name)
	}
	deadline, _ := ctx.Deadline()
	out.Header.Set(backendDeadline, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	out.Header.Set(attemptHeader, uuid.NewString())
	if q.team != "" {
		out.Header.Set("Jayshift-Team", string(q.team))
	}
	out.Body = nil
	if q.hasBody() || !q.idempotent() {
		// A body that is set, even when it is empty, keeps the transport from sending the request twice by itself.
		out.Body = e.paced(ctx, q.body.reader(), config.RegionPair{From: e.seams.Place.Region, To: server.Region})
	}
	return out
}

func (q *request) hasBody() bool { return q.r.ContentLength != 0 }

// stripHeaders removes the fields that hold for one connection only.
func stripHeaders(h http.Header) {
	for _, field := range h["Connection"] {
		h.Del(field)
	}
	for _, name := range []string{
		"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	} {
		h.Del(name)
	}
}

// failed settles an attempt that gave no answer.
func (e *Entry) failed(q *request, s *route.Server, err error, started time.Time) (retry.Result, *problem) {
	now := time.Now()
	p := &problem{status: http.StatusBadGateway, kind: kindUnavailable, title: "backend server gave no answer", after: unavailAfter}
	if errors.Is(err, target.ErrNotSent) {
		s.End(now, route.Lost, 0)
		if q.ctx.Err() == nil {
			s.Refused(now)
		}
		p.notRun = !q.mayHaveRun
		p.status = http.StatusServiceUnavailable
		return retry.NotRun, p
	}
	q.mayHaveRun = true
	if q.abandoned() {
		s.End(now, route.Abandoned, 0)
		return retry.Unknown, &problem{status: statusClientGone, kind: kindAbandoned, title: "caller went away", final: true}
	}
	s.End(now, route.Lost, 0)
	e.evidence(q, s, true, now.Sub(started))
	e.seams.Pool.Refresh(s.Name)
	if errors.Is(err, target.ErrBroken) || (q.ctx.Err() == nil && !e.timedOut(err) && !e.seams.Pool.Alive(q.ctx, s.Address)) {
		e.strike(q, s)
	}
	if q.ctx.Err() != nil {
		p.status, p.kind, p.title = http.StatusGatewayTimeout, kindTimeout, "backend server did not answer in time"
	}
	return retry.Unknown, p
}

func (e *Entry) timedOut(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// strike notes that a backend server was lost while it ran the request, here and at the peers.
func (e *Entry) strike(q *request, s *route.Server) {
	if e.seams.Poison.Strike(time.Now(), q.print, s.Name) {
		e.seams.Strike(q.print, s.Name)
	}
	e.seams.Log.Warn("backend server lost during a request", "backend-server", string(s.Name), "service", string(q.service.Name))
}

// evidence counts the outcome for the judgement of a version, while a shift moves the service.
func (e *Entry) evidence(q *request, s *route.Server, failed bool, took time.Duration) {
	if !q.moving {
		return
	}
	e.seams.Evidence.Add(time.Now(), trial.Subject{Service: s.Service, Version: s.Version, Route: q.route()}, failed, took)
}
