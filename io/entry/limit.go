package entry

import (
	"net/http"
	"time"

	"jayshift/core/limit"
	"jayshift/core/route"
)

// limitHeader names, in a backend server's response, the requests per second that it takes from all hosts together.
const limitHeader = "Jayshift-Limit"

func limitKey(s *route.Server) limit.Server { return limit.Server{ID: s.Name, Region: s.Region} }

// limitWait returns how long it takes until the limit of one of the service's backend servers lets a request of this host
// through.
func (e *Entry) limitWait(q *request) time.Duration {
	now, shortest, found := time.Now(), time.Duration(0), false
	for _, s := range e.deps.Pool.Servers(q.service.Name) {
		wait := e.deps.Limits.Wait(now, limitKey(s))
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest
}

func limitedProblem(wait time.Duration) *problem {
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindLimited, title: "the backend servers take no more requests than they have named",
		notRun: true, retryAfter: wait, noRetry: true,
	}
}

// recordLimit records the limit that a backend server's response names or no longer names. A text that names no rate is
// ignored.
func (e *Entry) recordLimit(s *route.Server, response *http.Response, sentAt time.Time) {
	rate := limit.Rate(0)
	if text := response.Header.Get(limitHeader); text != "" {
		var err error
		if rate, err = limit.ParseRate(text); err != nil {
			return
		}
	}
	e.deps.Limits.RecordAnswer(time.Now(), limitKey(s), sentAt, rate)
}
