package place

import "time"

// Reason says why no server can take a request.
type Reason string

// Reasons, from the one that says least.
const (
	NoServer Reason = "no-server" // none runs the service, the version, or in the homes
	Cold     Reason = "cold"      // those that could are cold and get no more
	Late     Reason = "late"      // the answer would come after the deadline
	Full     Reason = "full"      // as many wait as may
)

const (
	noServerAfter = 500 * time.Millisecond
	leastAfter    = 50 * time.Millisecond
)

var weight = map[Reason]int{NoServer: 0, Cold: 1, Late: 2, Full: 3}

// Refusal says why no server can take a request, and when one may.
type Refusal struct {
	Reason Reason
	After  time.Duration // when to come back
}

func (r *Refusal) add(reason Reason, after time.Duration) {
	after = max(after, leastAfter)
	if weight[reason] > weight[r.Reason] {
		r.Reason, r.After = reason, after
		return
	}
	if reason == r.Reason {
		r.After = min(r.After, after)
	}
}
