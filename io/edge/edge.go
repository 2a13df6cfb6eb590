// Package edge proxies callers' requests to backend servers at an edge host, whose platform stores the whole configuration
// in one value. It checks API keys and rate limits, selects a server, sends the request, and replies to the caller with
// the outcome.
package edge

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/place"
	"jayshift/core/poison"
	"jayshift/core/reach"
	"jayshift/core/rest"
	"jayshift/core/retry"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/io/conns"
	"jayshift/io/httpd"
	"jayshift/io/lines"
	"jayshift/io/rates"
)

// Deps are the dependencies and settings of an Edge.
type Deps struct {
	Protocol Protocol
	Log      *slog.Logger
	Table    func() *table.Table // returns nil while no configuration is known
	// CopyExpired reports whether what this host knows of configurations and backend servers must not be used, since it is
	// too old. CopyAge returns its age, for the log.
	CopyExpired func() bool
	CopyAge     func() time.Duration
	Balancer    *place.Balancer
	Limits      *limit.Limiter
	Rests       *rest.Book
	Pool        *conns.Pool
	Rates       *rates.Limiter
	Poison      *poison.Detector
	// Host is this host's name. Reach tells whether this host is cut off from all backend servers. Peer then selects the peer
	// to forward a request to; PeerPool holds the connections to peers.
	Host     ident.Host
	Reach    *reach.Detector
	Peer     func(reach.Query) (Peer, bool)
	PeerPool *conns.Pool
	// All hosts together may send RetryRatio retries per request, plus RetrySlack retries in a window. HostCount returns
	// the number of hosts that share this budget.
	RetryRatio float64
	RetrySlack float64
	HostCount  func() int
	Versions   Versions
	// BroadcastStrike tells the peers that a backend server was lost while it ran the request.
	BroadcastStrike func(p poison.Fingerprint, server ident.BackendServer)
	// MarkEnded records that the server's process has ended, because another process answers at its address.
	MarkEnded func(roster.Server)
	// MarkLeaving records that the server has said that it leaves.
	MarkLeaving func(roster.Server)
	// Replaced reports whether a later process of the backend server is registered. PeersReach reports whether a backend server
	// has lately answered another host. Probe asks the backend server for its health, without waiting for the answer.
	Replaced   func(roster.Server) bool
	PeersReach func() bool
	Probe      func(roster.Server)
	// WaitForRoom lets requests to services with several priorities wait at this host while their servers are full.
	WaitForRoom bool
	// Count records a finished request in the metrics.
	Count func(Sample)
	// BeginRun counts a request of the team that is sent to a backend server, where it is expected to wait. The returned function
	// is called when the attempt has ended, with false if the server has not run the request. Nil if runs are not counted.
	BeginRun func(team ident.Team, wait time.Duration) (end func(ran bool))
}

// Sample describes one finished request for the metrics.
type Sample struct {
	Route    ident.Route
	Team     ident.Team
	Outcome  Outcome
	Latency  time.Duration
	Attempts int // ended attempts that may have reached a backend server
	// Waited is the time for which the request waited for room, zero if it did not. Returning is set if it came back after a refusal.
	Waited    time.Duration
	Returning bool
}

// Edge serves callers' requests. It is safe for concurrent use.
type Edge struct {
	deps     Deps
	inFlight atomic.Int64
	served   atomic.Int64
	stopBy   atomic.Pointer[time.Time] // when a stopping host ends all requests; nil while it does not stop
	logLimit *lines.Limiter            // limits log lines by outcome
	splitter splitter
	// waitingRoom holds the requests that wait for room at the servers.
	waitingRoom *waitingRoom
	losses      losses
	// peerVersion is the latest version of the configuration by which a peer has read a forwarded request.
	peerVersion atomic.Int64

	mu      sync.Mutex
	budgets map[ident.Service]*retry.Budget
	running map[ident.Service]map[ident.Version]int // number of running attempts
}

// New returns an Edge with the given dependencies.
func New(deps Deps) *Edge {
	if deps.BeginRun == nil {
		deps.BeginRun = func(ident.Team, time.Duration) func(bool) { return func(bool) {} }
	}
	return &Edge{
		deps: deps, logLimit: lines.NewLimiter(maxLinesPerSecond), budgets: map[ident.Service]*retry.Budget{},
		running: map[ident.Service]map[ident.Version]int{}, splitter: newSplitter(), waitingRoom: newWaitingRoom(),
	}
}

// StopBy refuses from now on all requests that may last longer than until the given time, when the host ends all requests.
func (e *Edge) StopBy(end time.Time) { e.stopBy.Store(&end) }

// cannotEnd reports whether the host may end the request before its deadline.
func (e *Edge) cannotEnd(q *request) bool {
	end := e.stopBy.Load()
	return end != nil && q.deadline.Add(answerTime).After(*end)
}

// answerTime is the time that an answer takes to the caller at most.
const answerTime = 100 * time.Millisecond

// InFlight returns the number of callers' requests that are being served.
func (e *Edge) InFlight() int { return int(e.inFlight.Load()) }

// Serve serves one request of a caller. The context is canceled when the caller disconnects.
func (e *Edge) Serve(ctx context.Context, r *http.Request) *httpd.Response {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	q := newRequest(ctx, &e.deps.Protocol, r, time.Now())
	defer q.held.Release()
	reply := e.handle(q)
	e.setReturn(q, reply)
	e.recordSample(q, reply)
	e.log(q, reply)
	return reply.toHTTP(q)
}

// handle checks the request, sends it to backend servers and returns the reply. A request that was not sent to any server
// does not count against the team's rate.
func (e *Edge) handle(q *request) *reply {
	if rejection := e.admit(q); rejection != nil {
		return rejection
	}
	if rejection := e.readBody(q); rejection != nil {
		return rejection
	}
	if e.deps.Poison.Refused(time.Now(), q.fingerprint()) {
		return refusal(outcomePoison, http.StatusServiceUnavailable, poisonRetryAfter)
	}
	if q.callerLeft() {
		return refusal(outcomeCallerLeft, http.StatusServiceUnavailable, defaultRetryAfter)
	}
	if q.from != "" {
		return e.handleForwarded(q)
	}
	charge, ok, retryAfter := e.deps.Rates.Take(q.ctx, q.team)
	q.charge = charge
	if !ok {
		return refusal(outcomeTeamRate, http.StatusTooManyRequests, retryAfter)
	}
	reply := e.runAttempts(q)
	if q.sent == 0 {
		e.deps.Rates.Refund(charge)
	}
	return reply
}

// handleForwarded sends a request that a peer has forwarded to backend servers, unless this host is cut off from them too.
func (e *Edge) handleForwarded(q *request) *reply {
	if e.deps.Reach.CutOff() {
		return refusal(outcomeCutOff, http.StatusServiceUnavailable, defaultRetryAfter)
	}
	return e.runAttempts(q)
}

func (e *Edge) budget(s ident.Service) *retry.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	maxTokens := max(1, budgetFraction*e.deps.RetrySlack/float64(max(1, e.deps.HostCount())))
	b := e.budgets[s]
	if b == nil {
		b = retry.NewSharedBudget(budgetFraction*e.deps.RetryRatio, maxTokens)
		e.budgets[s] = b
	}
	b.SetMaxTokens(maxTokens)
	return b
}

// budgetFraction is the fraction of the retry budget that is used. The budget applies to sliding windows, so using all of
// it could exceed it in some window.
const budgetFraction = 0.75

func (e *Edge) addRunning(s *roster.Server, delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := e.running[s.Service]
	if versions == nil {
		versions = map[ident.Version]int{}
		e.running[s.Service] = versions
	}
	versions[s.Version] += delta
}

// RunningExcept returns the number of attempts that are running on versions of the service other than the excluded one.
func (e *Edge) RunningExcept(service ident.Service, excluded ident.Version) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for version, n := range e.running[service] {
		if version != excluded {
			sum += n
		}
	}
	return sum
}

func (e *Edge) recordSample(q *request, r *reply) {
	sample := Sample{Team: q.team, Outcome: r.outcome, Latency: time.Since(q.started), Attempts: q.sent, Waited: q.waited, Returning: q.rank.Returning}
	if q.route != nil {
		sample.Route = q.route.Name
	}
	e.deps.Count(sample)
}
