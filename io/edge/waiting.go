package edge

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/wait"
)

const (
	// sendMargin is the time that is kept for sending a request on, besides its expected run time.
	sendMargin = 10 * time.Millisecond
	// maxWaitingBody bounds the body of a request that waits, since it is held in memory meanwhile.
	maxWaitingBody = 128 << 10
)

// waitingRoom holds the queues of the services whose requests differ in priority. It is safe for concurrent use.
type waitingRoom struct {
	mu     sync.Mutex
	queues map[ident.Service]*serviceQueue
}

// serviceQueue is the queue of one service, with the requests that wait in it.
type serviceQueue struct {
	// round is held while waiting requests try. It is locked before mu.
	round sync.Mutex

	mu       sync.Mutex
	queue    *wait.Queue
	waiters  map[*wait.Entry]*waiter
	timer    *time.Timer // of the next round, nil until a request has waited
	service  ident.Service
	loggedAt time.Time
	// Since the last log line:
	waited, sent, rejected, returned int
}

func newWaitingRoom() *waitingRoom {
	return &waitingRoom{queues: map[ident.Service]*serviceQueue{}}
}

// of returns the queue of the service.
func (r *waitingRoom) of(s ident.Service) *serviceQueue {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.queues[s]
	if found == nil {
		weights := place.DefaultWeights()
		found = &serviceQueue{
			service: s,
			queue:   wait.New(wait.Settings{QueuePerSlot: weights.QueuePerSlot, Step: weights.Step()}),
			waiters: map[*wait.Entry]*waiter{},
		}
		r.queues[s] = found
	}
	return found
}

// known returns the queue of the service if it is in use.
func (r *waitingRoom) known(s ident.Service) (*serviceQueue, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found, ok := r.queues[s]
	return found, ok
}

// queueOf returns the queue of the request's service, nil if requests do not wait or those to the service do not differ in
// priority.
func (e *Edge) queueOf(q *request) *serviceQueue {
	if !e.deps.WaitForRoom || q.table == nil || q.route == nil || !q.table.RanksService(q.service) {
		return nil
	}
	return e.waitingRoom.of(q.service)
}

// Waiting returns the number of requests that wait, and of services that requests are sent to at a limited rate because their
// servers are overloaded.
func (e *Edge) Waiting() (requests, limited int) {
	e.waitingRoom.mu.Lock()
	defer e.waitingRoom.mu.Unlock()
	for _, s := range e.waitingRoom.queues {
		s.mu.Lock()
		state := s.queue.State(time.Now())
		s.mu.Unlock()
		requests += state.Waiting
		if state.Limited {
			limited++
		}
	}
	return requests, limited
}

// arrive records the request at its service's queue, once for each service.
func (s *serviceQueue) arrive(now time.Time, q *request) {
	if q.arrivedAt == q.service {
		return
	}
	q.arrivedAt = q.service
	q.rank = wait.Request{Key: q.returnKey(), Team: q.team, Priority: q.priority(), Deadline: q.deadline}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Arrive(now, &q.rank)
	if q.rank.Returning {
		s.returned++
	}
}

// returnKey identifies the request among those of a caller that returns after a refusal, with a new request id. It is a hash, since it is
// kept after the request.
func (q *request) returnKey() wait.Key {
	text := strings.Join([]string{string(q.team), q.r.Method, q.r.RequestURI, q.r.Header.Get(q.protocol.Object)}, " ")
	return wait.Key(strconv.FormatUint(xxhash.Sum64String(text), 16))
}

// reserveRoom returns the room that the request leaves to others.
func (s *serviceQueue) reserveRoom(now time.Time, q *request) float64 {
	rank := q.rank
	if q.arrivedAt == "" {
		rank = wait.Request{Team: q.team, Priority: q.priority()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Reserve(now, rank)
}

// place reserves a server for the request. If all servers are full, the request waits as long as it can be answered in time. It
// returns neither a reservation nor a refusal if the request is to start again. best is the best reply of its attempts so far.
func (e *Edge) place(q *request, best *reply) (*place.Reservation, *place.Refusal) {
	s := e.queueOf(q)
	if s == nil {
		return e.pick(q)
	}
	now := time.Now()
	s.arrive(now, q)
	if q.running > 0 || best != nil && best.response != nil {
		return e.pickThroughGate(s, q) // it does not wait, since a response is there or may come
	}
	entry := &wait.Entry{Request: q.rank, Latest: e.latest(now, q)}
	if !s.hasBefore(now, entry) {
		reservation, refused := e.pickThroughGate(s, q)
		if refused == nil || refused.Reason != place.Full {
			return reservation, refused
		}
		q.refused = refused
	}
	return e.await(s, q, entry)
}

// pickThroughGate reserves a server if the queue's gate lets the request pass now.
func (e *Edge) pickThroughGate(s *serviceQueue, q *request) (*place.Reservation, *place.Refusal) {
	now := time.Now()
	s.mu.Lock()
	gated := s.queue.Gate(now, q.rank)
	s.mu.Unlock()
	if gated > 0 {
		return nil, &place.Refusal{Reason: place.Full, RetryAfter: gated}
	}
	reservation, refused := e.pick(q)
	if refused != nil {
		if q.choice.Only {
			e.deps.Versions.Return(q.service, q.choice) // others are returned by pick
		}
		return nil, refused
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.Send(now, q.rank)
	return reservation, nil
}

// latest returns the time from which the request could not be answered in time.
func (e *Edge) latest(now time.Time, q *request) time.Time {
	query := q.query()
	shortest, ok := e.deps.Balancer.ShortestLatency(now, query)
	if !ok {
		return now
	}
	end := q.started.Add(q.route.LatencyTarget)
	if q.deadline.Before(end) {
		end = q.deadline.Add(-replyMargin)
	}
	return end.Add(-shortest - sendMargin)
}

func (s *serviceQueue) hasBefore(now time.Time, entry *wait.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.HasBefore(now, entry)
}

// mayWait reports whether a request whose body is not read yet could wait, if all servers are full.
func (e *Edge) mayWait(q *request, refused *place.Refusal) bool {
	if refused.Reason != place.Full || q.r.ContentLength < 0 || q.r.ContentLength > maxWaitingBody || e.queueOf(q) == nil {
		return false
	}
	now := time.Now()
	return now.Before(e.latest(now, q))
}

// recordRoom records the end of an attempt at a server: what it has reported, and that it may have room.
func (e *Edge) recordRoom(q *request, res *place.Reservation, outcome place.Outcome) {
	s, ok := e.waitingRoom.known(res.Server.Service)
	if !ok {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case outcome.Load != nil && outcome.Load.Slots > 0:
		s.queue.Report(now, res.Server.Region, float64(outcome.Load.Waiting)/float64(outcome.Load.Slots))
	case outcome.Result == place.Shed:
		s.queue.Report(now, res.Server.Region, place.DefaultWeights().QueuePerSlot)
	}
	if outcome.Result == place.Succeeded && q.arrivedAt != "" {
		target := q.route.LatencyTarget
		s.queue.Answer(now, q.rank, now.Sub(q.started) <= target || res.ExpectedRun >= target)
	}
	e.schedule(s, now, true)
}

// setReturn sets the time after which the caller of a request that found no room is told to return.
func (e *Edge) setReturn(q *request, r *reply) {
	if r.status != http.StatusServiceUnavailable || r.outcome != Outcome(place.Full) && r.outcome != outcomeShed {
		return
	}
	s := e.queueOf(q)
	if s == nil {
		return
	}
	now := time.Now()
	s.arrive(now, q)
	s.mu.Lock()
	defer s.mu.Unlock()
	r.retryAfter = max(minRetryAfter, s.queue.Refuse(now, q.rank, r.retryAfter))
}
