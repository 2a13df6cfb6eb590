package pace

import (
	"cmp"
	"math"
	"time"

	"jayshift/core/ident"
)

// Server is a process of a backend server.
type Server struct {
	ID    ident.BackendServer
	Start int64 // Unix milliseconds
}

func compareServers(a, b Server) int {
	return cmp.Or(cmp.Compare(a.ID, b.ID), cmp.Compare(a.Start, b.Start))
}

// Estimate is what is known of a server's pace.
type Estimate struct {
	// Limit is the number of requests that the server is to run at the same time over all hosts. It is 0 if only its slots and
	// queue limit them, otherwise at least 1 and below the number of slots.
	Limit float64
	// Load is the mean number of requests that ran or waited at the server, 0 if it was not observed lately.
	Load float64
	// OwnPart is the part of the latest observations that this host has made itself.
	OwnPart float64

	recent tally
}

// Slowdown returns the run time at the server relative to the usual one of the route, at least 1, given what this host has
// known of it for longer.
func (e Estimate) Slowdown(known float64) float64 {
	if e.recent.weight == 0 {
		return max(1, known)
	}
	return max(1, math.Exp((e.recent.sum+knownWeight*math.Log(known))/(e.recent.weight+knownWeight)))
}

// told is what a peer has told of a server.
type told struct {
	tallies
	at time.Time // when it arrived
}

// state is what this host knows of one server.
type state struct {
	service     ident.Service
	slots       int
	own         tallies
	others      tallies   // sum of what peers have told
	agedAt      time.Time // until which own and others have lost weight
	peers       map[ident.Host]told
	estimate    Estimate
	estimatedAt time.Time
}

// decay returns what the weights of observations are multiplied by after the time.
func decay(age time.Duration) factors {
	after := func(memory time.Duration) float64 { return math.Exp(-float64(max(0, age)) / float64(memory)) }
	return factors{low: after(lowMemory), recent: after(recentMemory), others: after(memory)}
}

// age lets the observations lose weight until now.
func (s *state) age(now time.Time) {
	if now.Equal(s.agedAt) {
		return
	}
	f := decay(now.Sub(s.agedAt))
	s.own.scale(f)
	s.others.scale(f)
	s.agedAt = now
}

// observe adds an observation of this host.
func (s *state) observe(now time.Time, o Observation) {
	s.age(now)
	logRatio := math.Log(min(max(o.Ratio, 1/maxRatio), maxRatio))
	level := levelOf(o.Running, o.Slots)
	s.own.byLevel[level].addScaled(tally{1, logRatio}, 1)
	if level < high {
		s.own.recent.addScaled(tally{1, logRatio}, 1)
	}
	s.observeLoad(o)
}

func (s *state) observeLoad(o Observation) {
	s.own.load.addScaled(tally{1, float64(min(o.Running+o.Waiting, maxLoadPerSlot*o.Slots))}, 1)
}

// tell records what a peer has told. It replaces what the peer has told before.
func (s *state) tell(now time.Time, from ident.Host, t tallies) {
	s.age(now)
	t.load.sum = min(t.load.sum, t.load.weight*float64(maxLoadPerSlot*s.slots))
	if before, ok := s.peers[from]; ok {
		f := decay(now.Sub(before.at))
		s.others.addScaled(before.tallies, factors{-f.low, -f.recent, -f.others})
	}
	s.others.addScaled(t, equally(1))
	s.peers[from] = told{t, now}
}

// all returns the observations of all hosts.
func (s *state) all(now time.Time) tallies {
	s.age(now)
	all := s.own
	all.addScaled(s.others, equally(1))
	return all
}

// update computes the estimate. A limit falls at once and grows by growthPerSecond, so that a server which was held back gets
// more requests step by step.
func (s *state) update(now time.Time, all tallies, usual curve) {
	before := s.estimate.Limit
	s.estimate = Estimate{recent: all.recent, OwnPart: s.own.load.weight / max(all.load.weight, minWeight), Load: all.load.sum / max(all.load.weight, minWeight)}
	limit := limitOf(all, usual, s.slots)
	if before > 0 {
		limit = min(limit, before+growthPerSecond*float64(s.slots)*now.Sub(s.estimatedAt).Seconds())
	}
	if limit < float64(s.slots) {
		s.estimate.Limit = max(1, limit)
	}
	s.estimatedAt = now
}
