// Package load generates an open-loop load from a seed, sends it to entry hosts and counts the outcomes.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxOutstanding = 4000 // requests
	maxLatencyMs   = 60_000
	waitTimeout    = 15 * time.Second // for the responses that are outstanding at the end
)

// Team is the load of one team.
type Team struct {
	Name        string
	Key         string
	OfferedRate float64 // mean requests per second
	RateLimit   float64 // the team's limit in requests per second, to classify refusals; 0 for none
	Burst       float64 // the team's burst limit in requests
}

// Plan describes the load of a run.
type Plan struct {
	Seed        uint64
	Duration    time.Duration
	WarmUp      time.Duration // requests sent in this time from the start are not counted
	Teams       []Team
	Paths       []string        // path prefixes of the services
	WriteShare  float64         // share of requests that are not idempotent, from 0 to 1
	UploadShare float64         // share of these requests that are uploads, from 0 to 1
	UploadBytes int             // body size of an upload
	MaxResends  int             // maximum times that a request is sent again while its outcome is unknown
	Entries     func() []string // returns the caller addresses of the entry hosts
	Skew        float64         // share of requests sent to the first entry host besides its equal share of the rest
}

// TeamResult counts the outcomes of one team's requests.
type TeamResult struct {
	Offered           int
	Answered          int
	RefusedWithinRate int                     // refused by the team's rate limit although within it
	RefusedOverRate   int                     // refused by the team's rate limit and above it
	NotRun            int                     // refused for another reason and reported as not run
	Unknown           int                     // neither answered nor refused as not run
	Dropped           int                     // not sent, because maxOutstanding requests were outstanding
	Latency           *hdrhistogram.Histogram // of answered requests, in microseconds
}

// Result holds the outcomes of a run.
type Result struct {
	Teams  map[string]*TeamResult // by team name
	Writes []Write                // all writes that were sent, those of the warm-up too
}

// Write is the outcome of a non-idempotent request. Backend servers count its executions by the ID.
type Write struct {
	ID      string
	Outcome Outcome
}

// Outcome is the outcome of a request as its caller sees it.
type Outcome int

// Outcomes of a request.
const (
	Answered    Outcome = iota
	RateLimited         // refused by the team's rate limit, so not run
	NotRun              // refused for another reason, and not run
	Unknown             // the request may have run
)

// run is the state of a running plan.
type run struct {
	plan      Plan
	sender    *sender
	mu        sync.Mutex
	result    Result
	pending   sync.WaitGroup
	semaphore chan struct{}
	startTime time.Time
}

// Run sends the load of the plan and returns the outcomes. It waits for outstanding requests up to waitTimeout at the
// end; later outcomes may be missing from the result.
func Run(ctx context.Context, plan Plan) Result {
	r := &run{
		plan: plan, sender: newSender(plan), semaphore: make(chan struct{}, maxOutstanding), startTime: time.Now(),
		result: Result{Teams: map[string]*TeamResult{}},
	}
	defer r.sender.close()
	for _, t := range plan.Teams {
		r.result.Teams[t.Name] = &TeamResult{Latency: hdrhistogram.New(1, maxLatencyMs*1000, 3)}
	}
	var teams sync.WaitGroup
	for i, t := range plan.Teams {
		teams.Go(func() { r.sendTeam(ctx, t, rand.New(rand.NewPCG(plan.Seed, uint64(i)))) })
	}
	teams.Wait()
	r.waitOutstanding()
	return r.result
}

// waitOutstanding waits until no requests are outstanding, at most for waitTimeout.
func (r *run) waitOutstanding() {
	done := make(chan struct{})
	go func() {
		r.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(waitTimeout):
	}
}

// sendTeam sends the requests of one team with exponentially distributed intervals, whether or not earlier requests
// were answered.
func (r *run) sendTeam(ctx context.Context, t Team, rng *rand.Rand) {
	if t.OfferedRate <= 0 {
		return
	}
	reference := newTokenBucket(t.RateLimit, t.Burst)
	sendAt := r.startTime
	for {
		sendAt = sendAt.Add(time.Duration(rng.ExpFloat64() / t.OfferedRate * float64(time.Second)))
		if sendAt.Sub(r.startTime) > r.plan.Duration {
			return
		}
		select {
		case <-time.After(time.Until(sendAt)):
		case <-ctx.Done():
			return
		}
		r.startJob(ctx, t, r.newJob(rng), reference.take(time.Now()))
	}
}

// job is a request to send.
type job struct {
	path          string
	write         bool
	upload        bool
	id            string
	entryFraction float64 // random number in [0, 1) that selects the entry host
}

func (r *run) newJob(rng *rand.Rand) job {
	j := job{path: r.plan.Paths[rng.IntN(len(r.plan.Paths))], entryFraction: rng.Float64(), id: newID(rng)}
	j.write = rng.Float64() < r.plan.WriteShare
	j.upload = j.write && rng.Float64() < r.plan.UploadShare
	return j
}

func (r *run) startJob(ctx context.Context, t Team, j job, withinRate bool) {
	counted := time.Since(r.startTime) >= r.plan.WarmUp
	select {
	case r.semaphore <- struct{}{}:
	default:
		r.updateTeam(t, counted, func(s *TeamResult) { s.Offered++; s.Dropped++ })
		return
	}
	r.pending.Go(func() {
		defer func() { <-r.semaphore }()
		started := time.Now()
		outcome := r.sender.send(ctx, t, j)
		r.recordOutcome(t, j, counted, withinRate, outcome, time.Since(started))
	})
}

func (r *run) recordOutcome(t Team, j job, counted, withinRate bool, outcome Outcome, latency time.Duration) {
	r.updateTeam(t, counted, func(s *TeamResult) {
		s.Offered++
		switch outcome {
		case Answered:
			s.Answered++
			_ = s.Latency.RecordValue(min(latency.Microseconds(), maxLatencyMs*1000))
		case RateLimited:
			if withinRate {
				s.RefusedWithinRate++
			} else {
				s.RefusedOverRate++
			}
		case NotRun:
			s.NotRun++
		case Unknown:
			s.Unknown++
		}
	})
	if j.write {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.result.Writes = append(r.result.Writes, Write{ID: j.id, Outcome: outcome})
	}
}

func (r *run) updateTeam(t Team, counted bool, update func(*TeamResult)) {
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	update(r.result.Teams[t.Name])
}

// tokenBucket is an exact central token bucket. It determines which requests are within a team's rate limit.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

func newTokenBucket(rate, burst float64) *tokenBucket {
	return &tokenBucket{rate: rate, burst: burst, tokens: burst, updatedAt: time.Now()}
}

func (b *tokenBucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
