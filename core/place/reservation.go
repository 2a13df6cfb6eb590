package place

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/pace"
	"jayshift/core/rest"
	"jayshift/core/roster"
)

// Reservation counts one request towards the load of a backend server until Release.
type Reservation struct {
	Server       roster.Server
	Warm         bool          // the server is expected to have run the object recently
	ExpectedWait time.Duration // expected time until the run starts
	ExpectedRun  time.Duration // expected time of the run

	pool         *pool
	server       *server
	route        ident.Route
	object       ident.Object
	started      time.Time
	ranRecently  bool // the server has run the object recently for this host, or the request has no object
	queued       bool // the server had no free slot or reported waiting requests, so the response time may include a wait
	probe        bool // the request checks whether a paused server works again, or takes requests after a rest
	rests        *rest.Book
	paces        *pace.Book // nil if hosts do not share what they observe
	queuePerSlot float64    // queue length per slot of a server that shed the request, as far as this host fills it
}

// reserve returns a reservation at the candidate's server. The pool must be locked.
func (p *pool) reserve(now time.Time, q Query, c candidate, settings *Settings) *Reservation {
	srv := c.server
	r := &Reservation{
		Server: srv.Server, Warm: c.warm, ExpectedWait: c.wait, ExpectedRun: c.run, pool: p, server: srv, ranRecently: c.ranRecently,
		route: q.Route, object: q.Object, started: now, queued: srv.load()+1 > float64(srv.Slots), queuePerSlot: settings.Weights.QueuePerSlot, rests: settings.Rests,
		paces: settings.Paces,
	}
	if srv.consecutiveFaults > 0 && srv.pause > 0 || srv.rested {
		srv.probing = true
		r.probe = true
	}
	if srv.isCold(now) {
		srv.coldTokens--
	}
	srv.inFlight++
	p.meanRun = ewma(p.meanRun, c.run)
	return r
}

// Release ends the reservation and updates the state of the server from the outcome. Call it exactly once.
func (r *Reservation) Release(now time.Time, o Outcome) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	srv := r.server
	srv.inFlight--
	if r.probe {
		srv.probing = false
	}
	if o.ConnectTime > 0 && (srv.minRTT == 0 || o.ConnectTime < srv.minRTT) {
		srv.minRTT = o.ConnectTime
	}
	if o.Load != nil && o.Load.Pace > 0 {
		srv.recordPace(now, o.Load.Pace)
	}
	r.recordOutcome(now, o)
	if o.Load != nil {
		srv.updateLoad(now, *o.Load)
		r.pool.recordLoad(now, srv.Region, *o.Load)
	}
}

// Usable reports whether the server may still be used: since the reservation was made it may have left or ended, or have
// asked for a rest.
func (r *Reservation) Usable(now time.Time) bool {
	if _, resting := r.rests.End(now, r.server.restKey()); resting {
		return false
	}
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return !r.server.Draining && !r.server.misdirected && slices.Contains(r.pool.servers, r.server)
}

// ServerAnswered reports whether the server has answered any request since this one was sent.
func (r *Reservation) ServerAnswered() bool {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	return r.server.answeredAt.After(r.started)
}

func (r *Reservation) recordOutcome(now time.Time, o Outcome) {
	srv := r.server
	if o.Result == Succeeded || o.Result == Failed || o.Result == Shed {
		srv.answeredAt = now
	}
	switch o.Result {
	case Succeeded:
		srv.rested = false
		srv.recordSuccess()
		srv.recordObject(now, r.object)
		r.queued = r.queued || o.Load != nil && o.Load.Waiting > 0
		r.recordPace(now, o.Load)
		r.recordRunTime(now)
	case Failed:
		srv.rested = false
		srv.recordFailure()
		srv.consecutiveFaults = 0
	case Shed:
		srv.consecutiveFaults = 0
		if !r.queued {
			srv.recordFailure() // it refused the request although a slot should have been free
		}
		srv.markFull(now, r.queuePerSlot)
		r.recordRefusal(now, o.Load)
	case Unreachable:
		srv.recordFault(now, 1)
	case Broken, TimedOut:
		srv.recordFault(now, faultThreshold)
	case Misdirected:
		srv.misdirected = true
	case Canceled:
	}
}

// recordRunTime updates the run times of the route and the slowness of the server. It ignores responses that waited for
// a slot, since their time is not the run time, responses of cold servers, and responses of servers that may have run the
// object for other hosts, since it is unknown whether these runs were warm.
func (r *Reservation) recordRunTime(now time.Time) {
	if r.queued || r.server.isCold(now) || r.Warm && !r.ranRecently {
		return
	}
	rt := r.pool.runTimeOf(r.route)
	elapsed := r.usualRun(now, rt)
	if rt.measured(r.ranRecently) {
		ratio := float64(elapsed) / float64(rt.expected(r.ranRecently, 0))
		srv := r.server
		srv.slowness = min(max(srv.slowness+slownessWeight*(ratio-srv.slowness), 1), maxSlowness)
	}
	rt.record(r.ranRecently, elapsed)
}

// recordPace records the run for what hosts tell each other, at the load that the server has reported after the run. If
// requests wait at the server, this one is taken to have waited behind as many. Runs are compared with those of the route while
// at most half of a server's slots were in use, if there were any, so that a service which is full for long does not count as
// one of usual pace.
func (r *Reservation) recordPace(now time.Time, load *Load) {
	rt := r.pool.runTimeOf(r.route)
	if r.paces == nil || load == nil || r.server.isCold(now) || r.Warm && !r.ranRecently || !rt.measured(r.ranRecently) {
		return
	}
	elapsed, slots := r.usualRun(now, rt), r.server.Slots
	if load.Waiting > 0 {
		elapsed = time.Duration(float64(elapsed) / (1 + float64(load.Waiting+1)/float64(slots)))
	}
	if 2*(load.Running+1) <= slots && !r.queued {
		r.pool.unloadedOf(r.route).record(r.ranRecently, elapsed)
	}
	if unloaded := r.pool.unloadedOf(r.route); unloaded.measured(r.ranRecently) {
		rt = unloaded
	}
	r.paces.Record(now, r.server.paceKey(), pace.Observation{
		Service: r.server.Service, Running: load.Running + 1, Waiting: load.Waiting, Slots: slots,
		Ratio: float64(elapsed) / float64(rt.expected(r.ranRecently, 0)),
	})
}

// recordRefusal records the load at which the server has refused the request, for what hosts tell each other.
func (r *Reservation) recordRefusal(now time.Time, load *Load) {
	if r.paces == nil || load == nil {
		return
	}
	r.paces.RecordRefusal(now, r.server.paceKey(), pace.Observation{
		Service: r.server.Service, Running: load.Running, Waiting: load.Waiting, Slots: r.server.Slots,
	})
}

func (r *Reservation) measuredRun(now time.Time) time.Duration {
	return max(now.Sub(r.started)-r.server.minRTT, time.Millisecond)
}

// usualRun returns the time that the run, which ends now, would have taken at the server's usual pace. The reported pace may
// hold for a part of the run only, so once the route's mean run time is known, it accounts for no more than the difference
// from what was expected of the server.
func (r *Reservation) usualRun(now time.Time, rt *runTime) time.Duration {
	elapsed, pace := r.measuredRun(now), r.server.currentPace(now)
	if rt.measured(r.ranRecently) {
		ratio := float64(elapsed) / (r.server.slowdown() * float64(rt.expected(r.ranRecently, 0)))
		pace = max(min(pace, max(1, ratio)), min(1, ratio))
	}
	return time.Duration(float64(elapsed) / pace)
}

// RunTimeRatio returns the run time of the request, which ends now, relative to the mean of comparable requests of the
// route. It returns false if the request is not comparable, as explained at recordRunTime, or if there is no mean yet. The
// reported pace is not counted, so that the servers of a slow version can't excuse themselves by it.
func (r *Reservation) RunTimeRatio(now time.Time) (float64, bool) {
	r.pool.mu.Lock()
	defer r.pool.mu.Unlock()
	rt := r.pool.runTimeOf(r.route)
	if r.queued || r.server.isCold(now) || r.Warm && !r.ranRecently || !rt.measured(r.ranRecently) {
		return 0, false
	}
	return float64(r.measuredRun(now)) / float64(rt.expected(r.ranRecently, 0)), true
}
