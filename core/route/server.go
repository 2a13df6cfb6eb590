// Package route picks the backend server that a request goes to.
package route

import (
	"math"
	"sync"
	"time"

	"jayshift/core/config"
)

const (
	growPeriod     = 250 * time.Millisecond // least time between two steps of a server's window
	ejectLeast     = 500 * time.Millisecond
	ejectMost      = 8 * time.Second
	ejectFailures  = 3
	latencyWindow  = 5 * time.Second // time constant of the latency average
	reportLifetime = 3 * time.Second // a load report that is older is not used
	leaveLifetime  = 10 * time.Second
)

// Server is what a host knows of a backend server: its own in-flight count and outcomes, which are facts,
// and the load report, which is a hint.
type Server struct {
	config.Server

	mu        sync.Mutex
	inFlight  int
	window    float64 // requests that the host lets run at once
	grownAt   time.Time
	failures  int
	ejections int
	ejected   time.Time // no new work before this
	probing   bool      // one request is allowed after an ejection
	latency   float64   // seconds, exponentially weighted
	measured  time.Time
	report    Report
	leaving   time.Time // no new work before this, since the server said that it stops
}

// Report is what a backend server says of its load.
type Report struct {
	InFlight int
	Slots    int
	Leaving  bool
	At       time.Time
}

// NewServer returns a cold server: its window starts at one request.
func NewServer(s config.Server) *Server { return &Server{Server: s, window: 1} }

// Start counts a request that is about to be sent.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.probing = false
}

// Outcome is how a request at a backend server ended.
type Outcome int

const (
	// Answered means that the server gave a whole answer, whatever its status.
	Answered Outcome = iota
	// Shed means that the server refused the request without running it.
	Shed
	// Failed means that the server gave an answer that tells of a fault of its own.
	Failed
	// Lost means that no answer came: the connection broke, could not be opened, or stayed silent.
	Lost
	// Abandoned means that the caller went away; it tells nothing of the server.
	Abandoned
)

// End counts a request that ended, and moves the window and the ejection.
func (s *Server) End(now time.Time, outcome Outcome, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch outcome {
	case Answered, Failed:
		s.succeed(now, took)
	case Shed:
		s.failures = 0
		s.ejections = 0
		s.window = max(1, s.window/2)
		s.grownAt = now
	case Lost:
		s.lose(now)
	case Abandoned:
		s.probing = s.ejections > 0
	}
}

func (s *Server) succeed(now time.Time, took time.Duration) {
	s.failures = 0
	s.ejections = 0
	s.average(now, took.Seconds())
	if s.window < float64(s.Slots) && now.Sub(s.grownAt) >= growPeriod {
		s.window++
		s.grownAt = now
	}
}

func (s *Server) average(now time.Time, seconds float64) {
	keep := math.Exp(-float64(now.Sub(s.measured)) / float64(latencyWindow))
	if s.measured.IsZero() {
		keep = 0
	}
	keep = min(keep, 0.9)
	s.latency = keep*s.latency + (1-keep)*seconds
	s.measured = now
}

func (s *Server) lose(now time.Time) {
	s.failures++
	s.window = max(1, s.window/2)
	if s.failures < ejectFailures && s.ejections == 0 {
		return
	}
	s.eject(now)
}

func (s *Server) eject(now time.Time) {
	pause := min(ejectLeast<<min(s.ejections, 8), ejectMost)
	s.ejections++
	s.ejected = now.Add(pause)
	s.probing = true
	s.window = 1
}

// Refused notes that the server does not accept connections; it gets no work for a while.
func (s *Server) Refused(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.ejected) {
		return
	}
	s.eject(now)
}

// SetReport takes in a load report; older ones are ignored.
func (s *Server) SetReport(r Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.At.After(s.report.At) {
		return
	}
	s.report = r
	s.leaving = time.Time{}
	if r.Leaving {
		s.leaving = r.At.Add(leaveLifetime)
	}
}

// InFlight returns how many requests of this host the server runs.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// usable tells whether the server may get one more request from this host.
func (s *Server) usable(now time.Time) bool {
	if now.Before(s.leaving) || now.Before(s.ejected) {
		return false
	}
	if s.ejections > 0 && !s.probing {
		return false
	}
	return s.inFlight < int(s.window)
}

// costFrom returns how long a new request would take there from the place, in seconds, as far as is known.
func (s *Server) costFrom(now time.Time, p Place) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := float64(s.inFlight)
	if now.Sub(s.report.At) < reportLifetime {
		busy = max(busy, float64(s.report.InFlight))
	}
	cost := (s.latency + 0.001) * (1 + busy/float64(max(s.Slots, 1)))
	if s.Zone != p.Zone {
		cost += zoneCost
	}
	return cost
}
