// Package limit holds the requests that all hosts together send to a backend server to the rate that the server names in
// its answers, however small that is.
//
// For each server, rendezvous hashing over the active hosts chooses those that send to it, and each gets an equal part of
// the rate. The others send nothing. No host asks another before it sends. A host that was not chosen all the time of late
// waits until the others know of it, so a host that starts, returns or takes over adds nothing to what is sent. If two
// hosts do not see each other, they send twice the used part of the rate at most.
//
// Hosts tell each other in their heartbeats which limits they have seen in answers. What a host knows ends only by an
// answer without a limit, seen here or by a peer, or with the server's process. If no answer was heard of for long, each
// host tries now and then, so rarely that all of them together stay far below the limit.
package limit

import (
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/ident"
)

const (
	usedPart      = 0.9  // of the limit, that is used
	unsettledPart = 0.7  // of the limit, that is used for unsettledTime after the hosts have changed
	trialPart     = 0.15 // of the limit, that all hosts together use for trials
	missedAnswers = 5    // answers of a server that must have been missed before it counts as silent

	settleTime    = 2 * time.Second        // for which a host must have been chosen before it sends
	unsettledTime = 10 * time.Second       // after a change of the hosts
	burstTime     = 250 * time.Millisecond // for which a host may save up its part of the limit
	silentTime    = 10 * time.Second       // without an answer, before hosts that do not send try
	reportTime    = 5 * time.Second        // for which an answer is told to the peers
	renumberTime  = 1 * time.Second        // between two reports of the same limit
	namedTime     = 1 * time.Second        // for which a host's own answer outweighs a peer's
	minWait       = 50 * time.Millisecond
	maxWait       = 2 * time.Second
	forgetTime    = 30 * time.Second // after which a server that is not listed is forgotten
)

// Server is a process of a backend server.
type Server struct {
	ID     ident.BackendServer
	Start  int64 // Unix milliseconds, zero if unknown
	Region ident.Region
}

func (s Server) process() process { return process{s.ID, s.Start} }

// process identifies a process of a backend server.
type process struct {
	id    ident.BackendServer
	start int64
}

// Limiter limits the requests of this host to the servers that have named a limit. It is safe for concurrent use.
type Limiter struct {
	// OnChange is called when this host has learned of another limit of a server, zero for none, from its own answers or from
	// a peer. It must not call the Limiter. It may be nil.
	OnChange func(server ident.BackendServer, rate Rate, from ident.Host)

	self    ident.Host
	random  func() float64
	limited atomic.Int64 // servers whose state is kept; without any, most calls return at once

	mu      sync.Mutex
	views   views
	version int // of the views
	servers map[process]*state
	seen    map[reported]int // number of the last report by host and server
	number  int              // of this host's last observation
}

// New returns a Limiter of a host that has just started. The function random returns numbers in [0, 1). The numbers of its
// reports start at the time, so that they differ from those of an earlier process of the host.
func New(self ident.Host, now time.Time, random func() float64) *Limiter {
	return &Limiter{
		self: self, random: random, views: views{{since: now}}, version: 1,
		servers: map[process]*state{}, seen: map[reported]int{}, number: int(now.UnixMilli()),
	}
}

// SetHosts sets the active hosts, including this one unless it is leaving.
func (l *Limiter) SetHosts(now time.Time, hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pruneViews(now)
	before := len(l.views)
	l.views = l.views.add(now, hosts)
	if len(l.views) != before {
		l.version++
	}
}

// pruneViews drops the views that do not count any more.
func (l *Limiter) pruneViews(now time.Time) {
	before := len(l.views)
	l.views = l.views.prune(now)
	if len(l.views) != before {
		l.version++
	}
}

// RecordAnswer records the limit that an answer of the server names, zero for none, and when the answered request was sent.
func (l *Limiter) RecordAnswer(now time.Time, server Server, sentAt time.Time, rate Rate) {
	if rate <= 0 && l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if rate > 0 {
		l.name(now, server.process(), rate, l.self)
		l.observe(now, l.servers[server.process()], rate)
		return
	}
	s := l.servers[server.process()]
	if s == nil || s.rate == 0 || !sentAt.After(s.learnedAt) {
		return // the answer may be older than the limit
	}
	l.lift(now, server.process(), s, l.self)
	l.observe(now, s, 0)
}

// name records that the server names a limit.
func (l *Limiter) name(now time.Time, p process, rate Rate, from ident.Host) {
	s := l.state(p)
	if s.name(now, rate, l.random) && l.OnChange != nil {
		l.OnChange(p.id, rate, from)
	}
}

// lift records that the server names no limit any more.
func (l *Limiter) lift(now time.Time, p process, s *state, from ident.Host) {
	s.lift(now)
	if l.OnChange != nil {
		l.OnChange(p.id, 0, from)
	}
}

// observe records an answer that this host got: the limit that it names, zero for none.
func (l *Limiter) observe(now time.Time, s *state, rate Rate) {
	if s.own.rate != rate || now.Sub(s.own.numberAt) >= renumberTime {
		l.number++
		s.own.number, s.own.numberAt = l.number, now
	}
	s.own.rate, s.own.at = rate, now
}

// state returns the state of a server, which it adds if there is none.
func (l *Limiter) state(p process) *state {
	s := l.servers[p]
	if s == nil {
		s = &state{}
		l.servers[p] = s
		l.limited.Add(1)
	}
	return s
}

// Named returns the limit that the server has named, and false if it has none.
func (l *Limiter) Named(server Server) (Rate, bool) {
	if l.limited.Load() == 0 {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[server.process()]
	if s == nil || s.rate == 0 {
		return 0, false
	}
	return s.rate, true
}

// Wait returns how long it takes until this host may send the server a request, zero if it may do so now.
func (l *Limiter) Wait(now time.Time, server Server) time.Duration {
	if l.limited.Load() == 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_, wait := l.ready(now, server)
	return wait
}

// Take counts a request that is sent to the server. It reports false, and counts nothing, if none may be sent now.
func (l *Limiter) Take(now time.Time, server Server) bool {
	if l.limited.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s, wait := l.ready(now, server)
	if wait > 0 {
		return false
	}
	if s != nil {
		s.tokens--
	}
	return true
}

// Retain forgets the servers that have not been listed for long.
func (l *Limiter) Retain(now time.Time, listed func(ident.BackendServer, int64) bool) {
	if l.limited.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, s := range l.servers {
		ended := s.rate == 0 && !s.own.isFresh(now)
		if !ended && (listed(p.id, p.start) || now.Sub(s.learnedAt) < forgetTime) {
			continue
		}
		delete(l.servers, p)
		l.limited.Add(-1)
	}
	for r := range l.seen {
		if l.servers[r.server] == nil {
			delete(l.seen, r)
		}
	}
}
