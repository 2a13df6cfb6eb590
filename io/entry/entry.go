// Package entry serves callers: it returns the hosts that they should use and proxies their requests to backend
// servers.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/canary"
	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/paths"
	"jayshift/core/poison"
	"jayshift/core/queue"
	"jayshift/core/rest"
	"jayshift/core/retry"
	"jayshift/core/route"
	"jayshift/core/wire"
	"jayshift/io/loans"
	"jayshift/io/member"
	"jayshift/io/runs"
	"jayshift/io/target"
)

const maxQueueLength = 256 // requests of one service that may wait for a slot

// Deps holds the settings and dependencies of an Entry.
type Deps struct {
	Location route.Location
	Host     ident.Host
	// Capacity is the number of concurrent requests from which on the host reports no headroom.
	Capacity int
	// MaxRequestTime is the longest time that any request may run.
	MaxRequestTime time.Duration
	Log            *slog.Logger

	Snapshot func() *config.Snapshot
	// Serving reports whether this host may serve requests now.
	Serving  func(now time.Time) bool
	Table    func() wire.SeatTable
	Peers    func() map[ident.Host]member.Peer
	Loans    *loans.Limiter
	Limits   *limit.Limiter
	Rests    *rest.Book
	Pool     *target.Pool
	Runs     *runs.Recorder
	Poison   *poison.Detector
	Gate     *canary.Gate
	Evidence *canary.Evidence
	// SendStrike reports to the peers that a backend server crashed while it ran a request with the fingerprint.
	SendStrike func(p poison.Fingerprint, server ident.BackendServer)
	// Observe is called when a request to a service has ended, to update the metrics.
	Observe func(Sample)
}

// Sample describes a request that has ended, for the metrics and the burn rate.
type Sample struct {
	Service       ident.Service
	Team          ident.Team
	Shift         ident.Shift
	Outcome       string
	Latency       time.Duration
	TargetLatency time.Duration // the service's latency target; zero if it has none
}

// Entry is the HTTP handler for callers. It is safe for concurrent use.
type Entry struct {
	deps     Deps
	inFlight atomic.Int64
	draining atomic.Bool
	stopBy   atomic.Pointer[time.Time] // when a stopping host ends all requests; nil while it does not stop
	services sync.Map                  // maps ident.Service to *serviceState
}

// serviceState is the state shared by all requests to one service.
type serviceState struct {
	queue   *queue.Queue
	budget  *retry.Budget
	polling atomic.Bool // a goroutine wakes waiting requests periodically
}

// New returns an Entry.
func New(deps Deps) *Entry {
	return &Entry{deps: deps}
}

// ServeHTTP answers a request for hosts to use, or proxies the request to a backend server.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if paths.Of(r.RequestURI) == steerPath {
		e.steer(w, r)
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.serve(w, r)
}

// Load returns the number of running requests, the free fraction of the capacity (0 to 1) and whether the host is
// draining.
func (e *Entry) Load() (inFlight int, headroom float64, draining bool) {
	n := int(e.inFlight.Load())
	return n, max(0, 1-float64(n)/float64(e.deps.Capacity)), e.draining.Load()
}

// Drain excludes this host from the responses to steer requests. Requests that still arrive are served, unless they may last
// longer than until the given time, when the host ends all requests.
func (e *Entry) Drain(end time.Time) {
	e.stopBy.Store(&end)
	e.draining.Store(true)
}

// checkStopping rejects a request that may last longer than this host, which is stopping.
func (e *Entry) checkStopping(q *request) *problem {
	end := e.stopBy.Load()
	if end == nil || !q.deadline.Add(answerTime).After(*end) {
		return nil
	}
	q.w.Header().Set("Connection", "close")
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindStopping, title: "host is stopping",
		detail: "use another entry", notRun: true, retryAfter: stoppingRetryAfter, noRetry: true,
	}
}

const (
	answerTime         = 100 * time.Millisecond // that an answer takes to the caller at most
	stoppingRetryAfter = 50 * time.Millisecond
)

// WaitIdle waits until no request is running. It returns false if the context ends first.
func (e *Entry) WaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for e.inFlight.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// state returns the state of a service and creates it on first use.
func (e *Entry) state(service ident.Service) *serviceState {
	if s, ok := e.services.Load(service); ok {
		return s.(*serviceState)
	}
	s, _ := e.services.LoadOrStore(service, &serviceState{queue: queue.New(maxQueueLength), budget: retry.NewBudget()})
	return s.(*serviceState)
}
