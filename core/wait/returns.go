package wait

import "time"

const (
	minInterval = 5 * time.Millisecond // between two requests that are told to return
	maxInterval = 200 * time.Millisecond
)

// returns spreads the requests that are told to return, so that they arrive in an order and at a rate that can be served.
type returns struct {
	next   map[int]time.Time // by priority, when the next refused request is to return at the earliest
	random func() float64
}

// schedule returns after which time a refused request is to return, given the time until there is room, the time that the
// caller has left, and the interval between two requests that are served.
func (r *returns) schedule(now time.Time, q Request, expected, interval time.Duration) time.Duration {
	horizon := time.Duration(returnPart * float64(q.Deadline.Sub(now)))
	if expected >= horizon {
		return expected
	}
	interval = min(max(interval, minInterval), maxInterval)
	at := now.Add(expected)
	for priority, next := range r.next {
		if priority <= q.Priority && next.After(at) {
			at = next
		}
	}
	if at.Sub(now) > horizon {
		return expected + time.Duration(r.random()*float64(horizon-expected))
	}
	r.next[q.Priority] = at.Add(interval)
	return at.Sub(now)
}
