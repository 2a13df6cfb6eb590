package trial

import "time"

const (
	slotTime    = 500 * time.Millisecond
	seriesSlots = 20 // slots kept: the outcomes of the last 10 s
)

// Tally counts outcomes.
type Tally struct {
	Requests float64
	Failures float64
	Latency  float64 // sum, in milliseconds
}

func (t *Tally) add(o Tally) {
	t.Requests += o.Requests
	t.Failures += o.Failures
	t.Latency += o.Latency
}

// Mean returns the mean latency in milliseconds.
func (t Tally) Mean() float64 {
	if t.Requests == 0 {
		return 0
	}
	return t.Latency / t.Requests
}

func (t Tally) failureRate() float64 {
	if t.Requests == 0 {
		return 0
	}
	return t.Failures / t.Requests
}

// Series holds the outcomes of the last seconds by the moment they ended, so that two versions are compared over the
// same moments: a machine or a link that is slow for a while is slow for both.
type Series struct {
	slots  [seriesSlots]Tally
	newest int64 // number of the latest slot, counted from the epoch
}

// Add counts outcomes that ended now.
func (s *Series) Add(now time.Time, t Tally) {
	s.turn(now)
	s.slots[s.newest%seriesSlots].add(t)
}

// turn drops the slots that are too old.
func (s *Series) turn(now time.Time) {
	slot := now.UnixNano() / int64(slotTime)
	if slot <= s.newest {
		return
	}
	for n := max(s.newest+1, slot-seriesSlots+1); n <= slot; n++ {
		s.slots[n%seriesSlots] = Tally{}
	}
	s.newest = slot
}

// merge adds the outcomes of another series that was turned to the same moment.
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
