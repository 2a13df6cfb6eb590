// Package route picks the backend server that a request goes to.
package route

import (
	"math"
	"sync"
	"time"

	"jayshift/core/config"
)

const (
	minGrowInterval     = 250 * time.Millisecond // between two increases of a server's concurrency limit
	minEjection         = 500 * time.Millisecond // first ejection; doubled for each consecutive one
	maxEjection         = 8 * time.Second
	failuresToEject     = 3                // consecutive requests without a response
	latencyTimeConstant = 5 * time.Second  // time constant of the latency average
	maxReportAge        = 3 * time.Second  // older load reports are not used
	leavingPeriod       = 10 * time.Second // without new requests after a server reported that it is stopping
)

// Server is the state of a backend server as seen by one host. The in-flight count and the outcomes are the host's own
// and exact; the load report comes from the server and may be outdated or wrong.
type Server struct {
	config.Server

	mu               sync.Mutex
	inFlight         int
	concurrencyLimit float64   // concurrent requests that this host may send
	limitChangedAt   time.Time // when the limit was last raised, or halved because the server shed a request
	failures         int       // consecutive requests without a response
	ejections        int       // consecutive ejections
	ejectedUntil     time.Time // no new requests before this time
	probeAllowed     bool      // one probe request is allowed after an ejection
	latency          float64   // exponentially weighted moving average, in seconds
	latencyUpdatedAt time.Time
	report           LoadReport
	leavingUntil     time.Time // no new requests before this time, because the server reported that it is stopping
}

// LoadReport is a load report from a backend server.
type LoadReport struct {
	InFlight   int
	Slots      int
	Leaving    bool // the server is stopping
	ReceivedAt time.Time
}

// NewServer returns the state of a server that has had no requests; its concurrency limit starts at one.
func NewServer(s config.Server) *Server { return &Server{Server: s, concurrencyLimit: 1} }

// Start records that a request is about to be sent. End must be called when it has ended.
func (s *Server) Start() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight++
	s.probeAllowed = false
}

// Outcome is the result of a request to a backend server.
type Outcome int

const (
	// Answered means that the server sent a complete response that is no server error.
	Answered Outcome = iota
	// Shed means that the server rejected the request without running it.
	Shed
	// Failed means that the server responded with a server error (5xx).
	Failed
	// NoAnswer means that there was no complete response: the connection failed, broke or timed out, or the response
	// belonged to another request.
	NoAnswer
	// Abandoned means that the caller canceled the request, which says nothing about the server.
	Abandoned
)

// End records the outcome of a request and updates the server's concurrency limit, average latency and ejection.
func (s *Server) End(now time.Time, outcome Outcome, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	switch outcome {
	case Answered, Failed:
		s.recordAnswer(now, latency)
	case Shed:
		s.failures = 0
		s.ejections = 0
		s.concurrencyLimit = max(1, s.concurrencyLimit/2)
		s.limitChangedAt = now
	case NoAnswer:
		s.recordNoAnswer(now)
	case Abandoned:
		s.probeAllowed = s.ejections > 0
	}
}

func (s *Server) recordAnswer(now time.Time, latency time.Duration) {
	s.failures = 0
	s.ejections = 0
	s.updateLatency(now, latency.Seconds())
	if s.concurrencyLimit < float64(s.Slots) && now.Sub(s.limitChangedAt) >= minGrowInterval {
		s.concurrencyLimit++
		s.limitChangedAt = now
	}
}

func (s *Server) updateLatency(now time.Time, seconds float64) {
	oldWeight := math.Exp(-float64(now.Sub(s.latencyUpdatedAt)) / float64(latencyTimeConstant))
	if s.latencyUpdatedAt.IsZero() {
		oldWeight = 0
	}
	oldWeight = min(oldWeight, 0.9)
	s.latency = oldWeight*s.latency + (1-oldWeight)*seconds
	s.latencyUpdatedAt = now
}

func (s *Server) recordNoAnswer(now time.Time) {
	s.failures++
	s.concurrencyLimit = max(1, s.concurrencyLimit/2)
	if s.failures < failuresToEject && s.ejections == 0 {
		return
	}
	s.eject(now)
}

func (s *Server) eject(now time.Time) {
	duration := min(minEjection<<min(s.ejections, 8), maxEjection)
	s.ejections++
	s.ejectedUntil = now.Add(duration)
	s.probeAllowed = true
	s.concurrencyLimit = 1
}

// ConnectFailed records that the server does not accept connections, and ejects it unless it is ejected already.
func (s *Server) ConnectFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.ejectedUntil) {
		return
	}
	s.eject(now)
}

// SetLoadReport stores a load report. It ignores a report that was not received after the stored one.
func (s *Server) SetLoadReport(r LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !r.ReceivedAt.After(s.report.ReceivedAt) {
		return
	}
	s.report = r
	s.leavingUntil = time.Time{}
	if r.Leaving {
		s.leavingUntil = r.ReceivedAt.Add(leavingPeriod)
	}
}

// Leaving reports whether the server has said that it is stopping, at most leavingPeriod ago.
func (s *Server) Leaving(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.leavingUntil)
}

// InFlight returns the number of this host's requests that the server is running.
func (s *Server) InFlight() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight
}

// available reports whether this host may send the server another request.
func (s *Server) available(now time.Time) bool {
	if now.Before(s.leavingUntil) || now.Before(s.ejectedUntil) {
		return false
	}
	if s.ejections > 0 && !s.probeAllowed {
		return false
	}
	return s.inFlight < int(s.concurrencyLimit)
}

// costFrom estimates the latency of a new request from the location to the server, in seconds.
func (s *Server) costFrom(now time.Time, loc Location) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := float64(s.inFlight)
	if now.Sub(s.report.ReceivedAt) < maxReportAge {
		inFlight = max(inFlight, float64(s.report.InFlight))
	}
	cost := (s.latency + 0.001) * (1 + inFlight/float64(max(s.Slots, 1)))
	if s.Zone != loc.Zone {
		cost += crossZoneCost
	}
	return cost
}
