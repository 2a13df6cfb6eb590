// Package wait decides about requests for which all servers of a service are full: which of them wait at the host, in which order
// they try again, which are rejected and when their callers are told to return, and how much room of the servers requests leave to
// more urgent ones.
package wait

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jayshift/core/ident"
)

const (
	maxWaiting = 32 // requests of one service that wait at a host
	// pollInterval is the time after which waiting requests try again if this host has ended no attempt. The load of a server
	// without attempts of this host changes no faster than by reports of other hosts.
	pollInterval = 100 * time.Millisecond
	// roundInterval is the minimum time between two rounds of tries, which bounds the processing time of a full queue.
	roundInterval   = 10 * time.Millisecond
	unknownInterval = 50 * time.Millisecond // assumed between two served requests until some were served
)

// Settings configures a Queue.
type Settings struct {
	// QueuePerSlot is the number of requests that may wait at a server for each of its slots, and Step the room that a kind leaves
	// for each more urgent kind, in requests per slot.
	QueuePerSlot float64
	Step         float64
	Random       func() float64 // returns a number in [0, 1); rand.Float64 if nil
}

// Queue holds the requests of one service that wait at this host, and what it knows of the service's recent requests. It is
// not safe for concurrent use.
type Queue struct {
	settings Settings
	waiting  []*Entry
	kinds    kinds
	teams    teams
	refusals refusals
	returns  returns
	gate     gate
	total    share     // of all requests
	since    time.Time // arrival of the first request
	roundAt  time.Time
}

// New returns a queue without requests.
func New(s Settings) *Queue {
	if s.Random == nil {
		s.Random = rand.Float64
	}
	return &Queue{
		settings: s, kinds: newKinds(s.Step, 1+s.QueuePerSlot), teams: newTeams(), refusals: newRefusals(),
		gate: newGate(), returns: returns{next: map[int]time.Time{}, random: s.Random},
	}
}

// Arrive records that the request has arrived, and sets whether it returns after a refusal. Call it once for each request.
func (q *Queue) Arrive(now time.Time, r *Request) {
	if q.since.IsZero() {
		q.since = now
	}
	r.Returning = q.refusals.take(now, r.Key)
	k := q.kinds.of(r.Priority)
	k.decay(now)
	k.seenAt = now
}

// Reserve returns the room that the request leaves to others at each server, in requests per slot.
func (q *Queue) Reserve(now time.Time, r Request) float64 {
	q.kinds.adapt(now)
	reserve := q.kinds.reserve(now, r.Priority)
	if r.Returning {
		reserve = max(0, reserve-q.settings.Step)
	}
	if q.scarce(now) && q.teams.beyond(now, r.Team) {
		reserve += q.settings.Step
	}
	return min(reserve, 1+q.settings.QueuePerSlot)
}

// Gate returns how long the request has to wait until this host may send it, zero if it may be sent now.
func (q *Queue) Gate(now time.Time, r Request) time.Duration {
	q.gate.update(now, q.demand(now))
	if !q.gate.limited {
		return 0
	}
	return q.gate.wait(q.need(now, r))
}

// need returns the number of tokens that the request needs: one, and more the more room it leaves to others.
func (q *Queue) need(now time.Time, r Request) float64 {
	return min(maxTokens, 1+tokensPerReserve*q.Reserve(now, r))
}

// Report records what a server of the region has reported: waiting requests for each of its slots.
func (q *Queue) Report(now time.Time, region ident.Region, perSlot float64) {
	q.gate.report(now, region, perSlot, q.sentRate(now))
}

func (q *Queue) sentRate(now time.Time) float64 {
	q.total.decay(now)
	return q.perSecond(now, q.total.served)
}

// perSecond returns the rate that a decayed count shows, also while the host has not counted for long.
func (q *Queue) perSecond(now time.Time, count float64) float64 {
	counted := 1 - math.Exp(-float64(now.Sub(q.since))/float64(shareTimeConstant))
	return count / (shareTimeConstant.Seconds() * max(counted, minCounted))
}

// minCounted bounds the correction of rates that are counted for a short time.
const minCounted = 0.03

// demand returns the recent rate of all requests, also refused ones.
func (q *Queue) demand(now time.Time) float64 {
	q.total.decay(now)
	return q.perSecond(now, q.total.ended())
}

// scarce reports whether requests were refused lately.
func (q *Queue) scarce(now time.Time) bool {
	q.total.decay(now)
	return q.total.refused > minEnded
}

// Add lets the request wait. It returns a request that is rejected in its place, nil if there is none: the one that is last
// in order if too many wait, or the new one if it cannot be served in time.
func (q *Queue) Add(now time.Time, e *Entry) (rejected *Entry) {
	if !now.Before(e.Latest) {
		return e
	}
	q.waiting = append(q.waiting, e)
	q.sort(now)
	place := slices.Index(q.waiting, e)
	if q.hopeless(now, place) {
		q.Remove(e)
		return e
	}
	if len(q.waiting) <= maxWaiting {
		return nil
	}
	last := q.waiting[maxWaiting]
	q.Remove(last)
	return last
}

// hopeless reports whether more requests wait before the one at the place than are served in the time that it has left.
func (q *Queue) hopeless(now time.Time, place int) bool {
	return now.Add(time.Duration(place) * q.interval(now)).After(q.waiting[place].Latest)
}

// interval returns the recent mean time between two requests that were served.
func (q *Queue) interval(now time.Time) time.Duration {
	q.total.decay(now)
	if q.total.served < minEnded {
		return unknownInterval
	}
	return time.Duration(float64(time.Second) / q.perSecond(now, q.total.served))
}

// Reject removes and returns the requests that cannot be answered in time any more.
func (q *Queue) Reject(now time.Time) []*Entry {
	var rejected []*Entry
	q.waiting = slices.DeleteFunc(q.waiting, func(e *Entry) bool {
		if now.Before(e.Latest) {
			return false
		}
		rejected = append(rejected, e)
		return true
	})
	return rejected
}

// Round starts a round of tries. It returns the waiting requests in the order in which they may try.
func (q *Queue) Round(now time.Time) []*Entry {
	q.roundAt = now
	q.sort(now)
	return slices.Clone(q.waiting)
}

// Next returns when the next round is due, and false if no request waits. freed is set if a server may have got room.
func (q *Queue) Next(now time.Time, freed bool) (at time.Time, ok bool) {
	if len(q.waiting) == 0 {
		return time.Time{}, false
	}
	soonest := q.roundAt.Add(roundInterval)
	if freed && !q.gate.limited {
		return soonest, true
	}
	at = q.roundAt.Add(pollInterval)
	for _, e := range q.waiting {
		if e.Latest.Before(at) {
			at = e.Latest
		}
		if wait := q.Gate(now, e.Request); wait > 0 && now.Add(wait).Before(at) {
			at = now.Add(wait)
		}
	}
	if at.Before(soonest) {
		return soonest, true
	}
	return at, true
}

// State describes a queue for log lines and metrics.
type State struct {
	Waiting  int
	Limited  bool            // the rate of requests that are sent is limited
	Rate     float64         // requests per second that may be sent, if Limited
	Reserves map[int]float64 // room that each kind leaves to others, in requests per slot, by priority
}

// State returns the state of the queue.
func (q *Queue) State(now time.Time) State {
	s := State{Waiting: len(q.waiting), Limited: q.gate.limited, Reserves: map[int]float64{}}
	if q.gate.limited {
		s.Rate = q.gate.rate
	}
	for _, priority := range q.kinds.inUse(now) {
		s.Reserves[priority] = q.kinds.reserve(now, priority)
	}
	return s
}

// Len returns the number of requests that wait.
func (q *Queue) Len() int { return len(q.waiting) }

// HasBefore reports whether a request waits that goes before the given one.
func (q *Queue) HasBefore(now time.Time, e *Entry) bool {
	if len(q.waiting) == 0 {
		return false
	}
	starving := q.kinds.starving(now)
	return slices.ContainsFunc(q.waiting, func(w *Entry) bool { return q.compare(now, starving, w, e) < 0 })
}

// Remove removes the request, and reports whether it was waiting.
func (q *Queue) Remove(e *Entry) bool {
	i := slices.Index(q.waiting, e)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Send records that the request was sent to a server.
func (q *Queue) Send(now time.Time, r Request) {
	q.gate.take()
	q.teams.record(now, r.Team, true)
	q.total.record(now, true)
}

// Answer records whether a request that was sent was answered in time, as far as its wait decides that.
func (q *Queue) Answer(now time.Time, r Request, inTime bool) {
	k := q.kinds.of(r.Priority)
	k.decay(now)
	if inTime {
		k.served++
	} else {
		k.late++
	}
	q.kinds.adapt(now)
}

// Refuse records that the request is refused because the servers are full, with the expected time until there is room. It
// returns the time after which the caller is told to return.
func (q *Queue) Refuse(now time.Time, r Request, expected time.Duration) time.Duration {
	q.teams.record(now, r.Team, false)
	q.total.record(now, false)
	q.kinds.of(r.Priority).record(now, false)
	q.kinds.adapt(now)
	retryAfter := q.returns.schedule(now, r, expected, q.interval(now))
	q.refusals.add(now, r, retryAfter)
	return retryAfter
}

func (q *Queue) sort(now time.Time) {
	starving := q.kinds.starving(now)
	slices.SortStableFunc(q.waiting, func(a, b *Entry) int { return q.compare(now, starving, a, b) })
}

func (q *Queue) compare(now time.Time, starving map[int]bool, a, b *Entry) int {
	return cmp.Or(
		first(starving[a.Priority], starving[b.Priority]),
		cmp.Compare(a.Priority, b.Priority),
		first(a.Returning, b.Returning),
		first(!q.teams.beyond(now, a.Team), !q.teams.beyond(now, b.Team)),
		a.Latest.Compare(b.Latest),
	)
}

// first orders a value that is set before one that is not.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
