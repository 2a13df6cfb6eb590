// Package entry serves callers: it tells them which host to use and carries their requests to backend servers.
package entry

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/poison"
	"jayshift/core/queue"
	"jayshift/core/retry"
	"jayshift/core/route"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/loans"
	"jayshift/io/member"
	"jayshift/io/runs"
	"jayshift/io/target"
)

const queuePerService = 256 // requests that may wait for a slot

// Seams are what an entry needs from the rest of the process.
type Seams struct {
	Place    route.Place
	Host     ident.Host
	Capacity int
	Longest  time.Duration
	Log      *slog.Logger

	Snapshot func() *config.Snapshot
	// Serving tells whether this host may serve keyed or limited work now.
	Serving  func(now time.Time) bool
	Table    func() wire.SeatTable
	Peers    func() map[ident.Host]member.Peer
	Loans    *loans.Limiter
	Pool     *target.Pool
	Runs     *runs.Recorder
	Poison   *poison.List
	Gate     *trial.Gate
	Evidence *trial.Evidence
	// Strike tells the peers that a backend server was lost to a request.
	Strike func(p poison.Print, server ident.BackendServer)
	// Count takes in the end of one request for the metrics.
	Count func(Sample)
}

// Sample is the end of one request, for metrics and burn.
type Sample struct {
	Service ident.Service
	Team    ident.Team
	Shift   ident.Shift
	Outcome string
	Took    time.Duration
	Limit   time.Duration // the service's latency target, zero for none
}

// Entry answers callers.
type Entry struct {
	seams    Seams
	inFlight atomic.Int64
	draining atomic.Bool
	lanes    sync.Map // ident.Service to *lane
}

// lane is what the requests of one service share.
type lane struct {
	queue   *queue.Queue
	budget  *retry.Budget
	pumping atomic.Bool // a goroutine lets waiting requests try
}

// New returns an entry.
func New(seams Seams) *Entry {
	return &Entry{seams: seams}
}

// ServeHTTP answers one caller's request.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == steerPath {
		e.steer(w, r)
		return
	}
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	e.serve(w, r)
}

// Load returns the number of running requests, the free share of capacity and whether the host is stopping.
func (e *Entry) Load() (inFlight int, headroom float64, draining bool) {
	n := int(e.inFlight.Load())
	return n, max(0, 1-float64(n)/float64(e.seams.Capacity)), e.draining.Load()
}

// Drain tells steering to leave this host out; requests that still come are served.
func (e *Entry) Drain() { e.draining.Store(true) }

// Idle waits until no request runs, or the context ends, and tells which.
func (e *Entry) Idle(ctx context.Context) bool {
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

func (e *Entry) lane(s ident.Service) *lane {
	if l, ok := e.lanes.Load(s); ok {
		return l.(*lane)
	}
	l, _ := e.lanes.LoadOrStore(s, &lane{queue: queue.New(queuePerService), budget: retry.NewBudget()})
	return l.(*lane)
}
