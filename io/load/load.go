// Package load sends an open-loop, seeded load to entry hosts and reports what became of it.
package load

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	mostOutstanding = 4000
	longestMs       = 60_000
	settleTime      = 15 * time.Second // wait for the last answers
)

// Team is one tenant's load.
type Team struct {
	Name  string
	Key   string
	Offer float64 // requests a second
	Rate  float64 // the team's limit, to tell refusals within it; zero for none
	Burst float64
}

// Plan is a whole run.
type Plan struct {
	Seed    uint64
	Length  time.Duration
	Warm    time.Duration // time at the start that is not counted
	Teams   []Team
	Paths   []string // path prefixes of the services
	Write   float64  // share of non-idempotent requests
	Upload  float64  // share of uploads among these
	Bytes   int      // size of an upload
	Resend  int      // times that a request without an outcome is sent again
	Entries func() []string
	Skew    float64 // share of the requests that go to the first entry, beyond an even spread
}

// Tally is what became of one team's requests.
type Tally struct {
	Offered  int
	Answered int
	InRate   int // refused although within the team's rate
	OverRate int // refused beyond it
	Busy     int // refused as not run for any other reason
	Unknown  int // neither an answer nor a true "not run"
	Dropped  int // not sent, since too many were outstanding
	Latency  *hdrhistogram.Histogram
}

// Result is what became of a run.
type Result struct {
	Teams  map[string]*Tally
	Writes []Write
}

// Write is one non-idempotent piece of work, for counting its executions.
type Write struct {
	ID      string
	Outcome Outcome
}

// Outcome is how a request ended for its caller.
type Outcome int

// Outcomes of a request.
const (
	Answered Outcome = iota
	RateRefused
	NotRun
	Unknown
)

// run is the state of one run.
type run struct {
	plan    Plan
	sender  *sender
	mu      sync.Mutex
	result  Result
	pending sync.WaitGroup
	slots   chan struct{}
	start   time.Time
}

// Run sends the load and returns what became of it.
func Run(ctx context.Context, plan Plan) Result {
	r := &run{
		plan: plan, sender: newSender(plan), slots: make(chan struct{}, mostOutstanding), start: time.Now(),
		result: Result{Teams: map[string]*Tally{}},
	}
	defer r.sender.close()
	for _, t := range plan.Teams {
		r.result.Teams[t.Name] = &Tally{Latency: hdrhistogram.New(1, longestMs*1000, 3)}
	}
	var teams sync.WaitGroup
	for i, t := range plan.Teams {
		teams.Go(func() { r.team(ctx, t, rand.New(rand.NewPCG(plan.Seed, uint64(i)))) })
	}
	teams.Wait()
	r.settle()
	return r.result
}

// settle waits for the outstanding requests, but not for ever.
func (r *run) settle() {
	done := make(chan struct{})
	go func() {
		r.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(settleTime):
	}
}

// team sends one team's requests at random times, whether or not earlier ones were answered.
func (r *run) team(ctx context.Context, t Team, random *rand.Rand) {
	if t.Offer <= 0 {
		return
	}
	ideal := newBucket(t.Rate, t.Burst)
	at := r.start
	for {
		at = at.Add(time.Duration(random.ExpFloat64() / t.Offer * float64(time.Second)))
		if at.Sub(r.start) > r.plan.Length {
			return
		}
		select {
		case <-time.After(time.Until(at)):
		case <-ctx.Done():
			return
		}
		r.launch(ctx, t, r.draw(random), ideal.take(time.Now()))
	}
}

// job is one request to send.
type job struct {
	path   string
	write  bool
	upload bool
	id     string
	pick   float64
}

func (r *run) draw(random *rand.Rand) job {
	j := job{path: r.plan.Paths[random.IntN(len(r.plan.Paths))], pick: random.Float64(), id: newID(random)}
	j.write = random.Float64() < r.plan.Write
	j.upload = j.write && random.Float64() < r.plan.Upload
	return j
}

func (r *run) launch(ctx context.Context, t Team, j job, within bool) {
	counted := time.Since(r.start) >= r.plan.Warm
	select {
	case r.slots <- struct{}{}:
	default:
		r.tally(t, counted, func(s *Tally) { s.Offered++; s.Dropped++ })
		return
	}
	r.pending.Go(func() {
		defer func() { <-r.slots }()
		started := time.Now()
		outcome := r.sender.send(ctx, t, j)
		r.record(t, j, counted, within, outcome, time.Since(started))
	})
}

func (r *run) record(t Team, j job, counted, within bool, outcome Outcome, took time.Duration) {
	r.tally(t, counted, func(s *Tally) {
		s.Offered++
		switch outcome {
		case Answered:
			s.Answered++
			_ = s.Latency.RecordValue(min(took.Microseconds(), longestMs*1000))
		case RateRefused:
			if within {
				s.InRate++
			} else {
				s.OverRate++
			}
		case NotRun:
			s.Busy++
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

func (r *run) tally(t Team, counted bool, change func(*Tally)) {
	if !counted {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.result.Teams[t.Name])
}

// bucket is one central token bucket, the ideal that refusals are judged by.
type bucket struct {
	rate, burst, tokens float64
	at                  time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, tokens: burst, at: time.Now()}
}

func (b *bucket) take(now time.Time) bool {
	if b.rate <= 0 {
		return true
	}
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
