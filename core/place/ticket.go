package place

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
)

// Ticket is a place at a backend server that a request holds until End.
type Ticket struct {
	Server roster.Server
	Warm   bool          // the server is expected to know the object
	Wait   time.Duration // expected before the run
	Run    time.Duration // expected

	shard   *shard
	server  *server
	route   ident.Route
	object  ident.Object
	started time.Time
	known   bool // this host knows that the server has run the object lately
	queued  bool // the server had no free slot
	probe   bool // sees whether a paused server works again
	queue   float64
}

// take gives the request its place. The shard is locked.
func (s *shard) take(now time.Time, q Query, c candidate) *Ticket {
	v := c.server
	t := &Ticket{
		Server: v.Server, Warm: c.warm, Wait: c.wait, Run: c.run, shard: s, server: v, known: c.known,
		route: q.Route, object: q.Object, started: now, queued: v.load()+1 > float64(v.Slots), queue: 2,
	}
	if v.faults > 0 && v.pause > 0 {
		v.probing = true
		t.probe = true
	}
	if v.isCold(now) {
		v.paced--
	}
	v.inFlight++
	s.mean = blend(s.mean, c.run)
	return t
}

// End gives the place back and learns from the outcome.
func (t *Ticket) End(now time.Time, o Outcome) {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	v := t.server
	v.inFlight--
	if t.probe {
		v.probing = false
	}
	if o.Connected > 0 && (v.trip == 0 || o.Connected < v.trip) {
		v.trip = o.Connected
	}
	t.learn(now, o)
	if o.Load != nil {
		v.report(now, *o.Load)
	}
}

// Heard tells whether the server has answered any request since this one was sent.
func (t *Ticket) Heard() bool {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	return t.server.heard.After(t.started)
}

func (t *Ticket) learn(now time.Time, o Outcome) {
	v := t.server
	if o.Result == Answered || o.Result == Failed || o.Result == Shed {
		v.heard = now
	}
	switch o.Result {
	case Answered:
		v.succeeded()
		v.learn(now, t.object)
		t.queued = t.queued || o.Load != nil && o.Load.Waiting > 0
		t.timed(now)
	case Failed:
		v.failed()
		v.faults = 0
	case Shed:
		v.faults = 0
		if !t.queued {
			v.failed() // it refuses although it should have room
		}
		v.full(now, t.queue)
	case Unreachable:
		v.fault(now, 1)
	case Broken, Silent:
		v.fault(now, faultsToPause)
	case Misdirected:
		v.gone = true
	case Abandoned:
	}
}

// timed learns from the time that an answer took. Answers that waited for a slot say nothing of the run, nor do those
// of a server where other hosts may have run the object.
func (t *Ticket) timed(now time.Time) {
	took := t.took(now)
	if t.queued || t.server.isCold(now) || t.Warm && !t.known {
		return
	}
	w := t.shard.workOf(t.route)
	if w.has(t.known) {
		ratio := float64(took) / float64(w.expected(t.known, 0))
		v := t.server
		v.slow = min(max(v.slow+slowWeight*(ratio-v.slow), 1), mostSlow)
	}
	w.learn(t.known, took)
}

func (t *Ticket) took(now time.Time) time.Duration {
	return max(now.Sub(t.started)-t.server.trip, time.Millisecond)
}

// Ratio compares the time that an answer took with what such requests take, and tells whether it may be compared.
func (t *Ticket) Ratio(now time.Time) (float64, bool) {
	t.shard.mu.Lock()
	defer t.shard.mu.Unlock()
	w := t.shard.workOf(t.route)
	if t.queued || t.server.isCold(now) || t.Warm && !t.known || !w.has(t.known) {
		return 0, false
	}
	return float64(t.took(now)) / float64(w.expected(t.known, 0)), true
}
