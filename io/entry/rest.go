package entry

import (
	"net/http"
	"time"

	"jayshift/core/rest"
	"jayshift/core/route"
)

func restKey(s *route.Server) rest.Server { return rest.Server{ID: s.Name} }

// restEnd returns the end of the rest that the server has asked this host for, or false if it does not rest.
func (e *Entry) restEnd(s *route.Server) (time.Time, bool) {
	return e.deps.Rests.End(time.Now(), restKey(s))
}

// serverWait returns how long the server's limit and its rest let no further request of this host through.
func (e *Entry) serverWait(s *route.Server) time.Duration {
	now := time.Now()
	wait := e.deps.Limits.Wait(now, limitKey(s))
	if end, resting := e.deps.Rests.End(now, restKey(s)); resting {
		wait = max(wait, end.Sub(now))
	}
	return wait
}

// allRest returns a problem if all servers that may run the request rest. It names the earliest end of their rests.
func (e *Entry) allRest(q *request) *problem {
	var earliest time.Time
	for _, s := range e.deps.Pool.Servers(q.service.Name) {
		if s.Version != q.version {
			continue
		}
		end, resting := e.restEnd(s)
		if !resting {
			return nil
		}
		if earliest.IsZero() || end.Before(earliest) {
			earliest = end
		}
	}
	if earliest.IsZero() {
		return nil
	}
	return &problem{
		status: http.StatusServiceUnavailable, kind: kindBusy, title: "all backend servers have asked for a rest",
		notRun: true, retryAfter: time.Until(earliest), noRetry: true,
	}
}
