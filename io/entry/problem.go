package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"jayshift/core/wire"
)

// Response headers for callers.
const (
	notRunHeader = "Jayshift-Not-Run"
	hostHeader   = "Jayshift-Host"
	// replayedHeader marks the recorded response of an earlier run of the same request.
	replayedHeader = "Jayshift-Replayed"
)

// problem is an error response that this host sends instead of a backend server's response.
type problem struct {
	status     int
	kind       string
	title      string
	detail     string
	notRun     bool
	retryAfter time.Duration // time after which the caller may retry; zero to send no Retry-After header
	noRetry    bool          // another attempt would not help
}

// Kinds of problems, sent to callers and used as outcomes in metrics. kindAnswered and kindAborted are outcomes only.
const (
	kindNoService      = "no-service"
	kindKeyRefused     = "key-refused"
	kindNotInShift     = "not-in-shift"
	kindIsolated       = "host-isolated"
	kindStopping       = "host-stopping"
	kindTeamRate       = "team-rate"
	kindShiftCap       = "shift-cap"
	kindBusy           = "busy"
	kindPoison         = "poison-request"
	kindInProgress     = "run-in-progress"
	kindOutcomeUnknown = "outcome-unknown"
	kindCannotRecord   = "cannot-record"
	kindLimited        = "backend-limited"
	kindUnavailable    = "backend-unavailable"
	kindDeadline       = "deadline"
	kindBadRequest     = "bad-request"
	kindMemory         = "memory-full"
	kindBodySlow       = "body-slow"
	kindAnswered       = "answered"
	kindAborted        = "aborted"
	kindCallerGone     = "caller-gone"
)

// statusCallerGone is the status when the caller closed the connection, so that no response reaches it. 499 is the
// status that nginx uses for this.
const statusCallerGone = 499

// writeProblem sends the problem as JSON, and sets the Retry-After header in seconds, rounded up.
func (e *Entry) writeProblem(w http.ResponseWriter, p problem) {
	body := wire.Problem{
		Type: p.kind, Title: p.title, Status: p.status, Detail: p.detail, NotRun: p.notRun,
		RetryAfterMs: int(p.retryAfter.Milliseconds()),
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(notRunHeader, strconv.FormatBool(p.notRun))
	h.Set(hostHeader, string(e.deps.Host))
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(body)
}

// callerErrors contains the outcomes that do not count towards the service level objective, because the caller caused
// them.
var callerErrors = map[string]bool{
	kindKeyRefused: true, kindNotInShift: true, kindTeamRate: true, kindPoison: true, kindBadRequest: true, kindCallerGone: true, kindInProgress: true,
}

// CountsForSLO reports whether the request counts towards the service level objective.
func (s Sample) CountsForSLO() bool { return !callerErrors[s.Outcome] }

// Bad reports whether the request got no response from a backend server, or got it later than the service's latency
// target.
func (s Sample) Bad() bool {
	return s.Outcome != kindAnswered || (s.TargetLatency > 0 && s.Latency > s.TargetLatency)
}
