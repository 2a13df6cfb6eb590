// Package edge carries the requests of callers to backend servers on a platform where operators write whole
// configurations: it checks keys and rates, picks a server, sends the request, and answers at once whatever became of it.
package edge

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/poison"
	"jayshift/core/retry"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/io/conns"
	"jayshift/io/httpd"
	"jayshift/io/lines"
	"jayshift/io/rates"
)

// Seams are what an edge needs from the rest of the process.
type Seams struct {
	Dialect Dialect
	Log     *slog.Logger
	Table   func() *table.Table // nil when no configuration is known
	Board   *place.Balancer
	Pool    *conns.Pool
	Rates   *rates.Limiter
	Poison  *poison.Detector
	// Budget is how many repeats all hosts together may send beyond a share of the requests, and how many hosts there are.
	BudgetShare float64
	BudgetSlack float64
	Hosts       func() int
	// Version returns the backend version that the next request of the service goes to, empty for any.
	Version func(ident.Service) ident.Version
	// Judge takes in how an attempt at a version ended; ratio is its time against what such requests take, 0 for none.
	Judge func(s roster.Server, r ident.Route, failed bool, ratio float64)
	// Strike tells the peers that a backend server was lost while it ran the request.
	Strike func(p poison.Fingerprint, server ident.BackendServer)
	// Gone tells that another process answers at the server's address.
	Gone func(roster.Server)
	// Leaving tells whether the host was told to stop.
	Leaving func() bool
	// Count takes in the end of a request for the metrics.
	Count func(Sample)
}

// Sample is the end of one request, for metrics.
type Sample struct {
	Route    ident.Route
	Team     ident.Team
	Outcome  Outcome
	Took     time.Duration
	Attempts int
}

// Edge answers callers.
type Edge struct {
	seams    Seams
	inFlight atomic.Int64
	served   atomic.Int64
	limit    *lines.Limit // of log lines
	splits   splits

	mu      sync.Mutex
	budgets map[ident.Service]*retry.Budget
	running map[ident.Service]map[ident.Version]int
}

// New returns an edge.
func New(seams Seams) *Edge {
	return &Edge{
		seams: seams, limit: lines.NewLimit(linesPerSecond), budgets: map[ident.Service]*retry.Budget{},
		running: map[ident.Service]map[ident.Version]int{}, splits: newSplits(),
	}
}

// InFlight returns how many requests run.
func (e *Edge) InFlight() int { return int(e.inFlight.Load()) }

// Serve answers one request of a caller; the context ends when the caller leaves.
func (e *Edge) Serve(ctx context.Context, r *http.Request) *httpd.Response {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	q := newRequest(ctx, &e.seams.Dialect, r, time.Now())
	reply := e.answer(q)
	e.count(q, reply)
	e.log(q, reply)
	return reply.http(q)
}

// answer finds the reply to a request.
func (e *Edge) answer(q *request) *reply {
	if problem := e.admit(q); problem != nil {
		return problem
	}
	if problem := e.readBody(q); problem != nil {
		return problem
	}
	if e.seams.Poison.Refused(time.Now(), q.fingerprint()) {
		return refusal(outcomePoison, http.StatusServiceUnavailable, poisonAfter)
	}
	taken, ok, after := e.seams.Rates.Take(q.ctx, q.team)
	if !ok {
		return refusal(outcomeRate, http.StatusTooManyRequests, after)
	}
	reply := e.run(q)
	if q.sent == 0 {
		e.seams.Rates.Refund(taken)
	}
	return reply
}

func (e *Edge) budget(s ident.Service) *retry.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := max(1, budgetPart*e.seams.BudgetSlack/float64(max(1, e.seams.Hosts())))
	b := e.budgets[s]
	if b == nil {
		b = retry.NewSharedBudget(budgetPart*e.seams.BudgetShare, most)
		e.budgets[s] = b
	}
	b.SetMaxTokens(most)
	return b
}

// budgetPart of what all hosts together may repeat is used, since requests are counted in windows that slide.
const budgetPart = 0.75

func (e *Edge) track(s *roster.Server, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	versions := e.running[s.Service]
	if versions == nil {
		versions = map[ident.Version]int{}
		e.running[s.Service] = versions
	}
	versions[s.Version] += by
}

// Running returns how many requests run on versions of the service other than the one named.
func (e *Edge) Running(service ident.Service, besides ident.Version) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for version, n := range e.running[service] {
		if version != besides {
			sum += n
		}
	}
	return sum
}

func (e *Edge) count(q *request, r *reply) {
	sample := Sample{Team: q.team, Outcome: r.outcome, Took: time.Since(q.started), Attempts: q.sent}
	if q.route != nil {
		sample.Route = q.route.Name
	}
	e.seams.Count(sample)
}
