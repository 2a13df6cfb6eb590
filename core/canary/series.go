package canary

import "time"

const (
	slotDuration = 500 * time.Millisecond
	slotCount    = 20 // slots of a series, which cover 10 seconds
)

// Tally holds request counts and the sum of the latencies.
type Tally struct {
	Requests   float64
	Failures   float64 // answers that are failures
	Lost       float64 // requests without a complete answer
	LatencySum float64 // in milliseconds
	Started    float64 // requests sent, whether or not they have ended
	Ended      float64 // requests that do not run any more, with or without an outcome
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Failures += o.Failures
	t.Lost += o.Lost
	t.LatencySum += o.LatencySum
	t.Started += o.Started
	t.Ended += o.Ended
}

func (t *Tally) subtract(o Tally) {
	t.Requests -= o.Requests
	t.Failures -= o.Failures
	t.Lost -= o.Lost
	t.LatencySum -= o.LatencySum
	t.Started -= o.Started
	t.Ended -= o.Ended
}

// MeanLatency returns the mean latency in milliseconds.
func (t Tally) MeanLatency() float64 {
	if t.Requests == 0 {
		return 0
	}
	return t.LatencySum / t.Requests
}

// bad returns the number of requests that failed or were lost.
func (t Tally) bad() float64 { return t.Failures + t.Lost }

// running returns the number of requests that have not ended.
func (t Tally) running() float64 { return max(0, t.Started-t.Ended) }

func (t Tally) answered() float64 { return t.Requests - t.Lost }

// Series holds the outcomes of the last 10 seconds in slots by the time at which the requests ended. Two versions are
// compared slot by slot, because a machine or link that is slow for a while slows both.
type Series struct {
	slots  [slotCount]Tally
	newest int64 // number of the latest slot, counted from the Unix epoch
}

// Add adds the outcomes of requests that ended now.
func (s *Series) Add(now time.Time, t Tally) {
	s.advance(now)
	s.slots[s.newest%slotCount].add(t)
}

// advance makes the slot of now the newest one and clears the slots that are too old.
func (s *Series) advance(now time.Time) {
	slot := now.UnixNano() / int64(slotDuration)
	if slot <= s.newest {
		return
	}
	for n := max(s.newest+1, slot-slotCount+1); n <= slot; n++ {
		s.slots[n%slotCount] = Tally{}
	}
	s.newest = slot
}

// merge adds the outcomes of another series that has been advanced to the same time.
func (s *Series) merge(o Series) {
	s.newest = max(s.newest, o.newest)
	for i, t := range o.slots {
		s.slots[i].add(t)
	}
}

// Total returns the sum of all slots.
func (s Series) Total() Tally {
	var sum Tally
	for _, t := range s.slots {
		sum.add(t)
	}
	return sum
}
