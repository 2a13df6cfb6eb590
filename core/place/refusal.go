package place

import "time"

// Reason is why no server can take a request.
type Reason string

// Reasons, in ascending order of precedence.
const (
	NoServer Reason = "no-server" // no eligible server runs the service and version in an allowed region
	Resting  Reason = "resting"   // eligible servers have asked this host to send them nothing for some time
	Cold     Reason = "cold"      // eligible servers are cold and get no more requests for now
	Limited  Reason = "limited"   // eligible servers take no more requests than they have named as their limit
	Late     Reason = "late"      // the response would arrive after the deadline
	Full     Reason = "full"      // as many requests as allowed run or wait at the eligible servers
)

// NoServerRetryAfter is the time after which a request is worth repeating that no server is known for.
const NoServerRetryAfter = 500 * time.Millisecond

const minRetryAfter = 50 * time.Millisecond

var precedence = map[Reason]int{NoServer: 0, Resting: 1, Cold: 2, Limited: 3, Late: 4, Full: 5}

// Refusal is why no server can take a request, and when to retry. If servers differ, the reason of the highest
// precedence counts, with the shortest time among servers of that reason.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration // time until the request may succeed, at least minRetryAfter, or NoServerRetryAfter for NoServer
}

func (r *Refusal) add(reason Reason, retryAfter time.Duration) {
	retryAfter = max(retryAfter, minRetryAfter)
	if precedence[reason] > precedence[r.Reason] {
		r.Reason, r.RetryAfter = reason, retryAfter
		return
	}
	if reason == r.Reason {
		r.RetryAfter = min(r.RetryAfter, retryAfter)
	}
}
