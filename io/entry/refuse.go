package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"jayshift/core/wire"
)

// Headers that callers see.
const (
	notRunHeader = "Jayshift-Not-Run"
	hostHeader   = "Jayshift-Host"
	// replayedHeader marks an answer that an earlier run of the same request gave.
	replayedHeader = "Jayshift-Replayed"
)

// problem is an answer of jayshift's own in place of a backend server's.
type problem struct {
	status int
	kind   string
	title  string
	detail string
	notRun bool
	after  time.Duration // when to come back, zero for never
	final  bool          // another attempt is pointless
}

// Kinds of problems, as callers and metrics see them.
const (
	kindNoService   = "no-service"
	kindKey         = "key-refused"
	kindShift       = "not-in-shift"
	kindIsolated    = "host-isolated"
	kindTeamRate    = "team-rate"
	kindShiftCap    = "shift-cap"
	kindBusy        = "busy"
	kindPoison      = "poison-request"
	kindInProgress  = "run-in-progress"
	kindUnknown     = "outcome-unknown"
	kindNoKeepers   = "cannot-record"
	kindUnavailable = "backend-unavailable"
	kindTimeout     = "deadline"
	kindBadRequest  = "bad-request"
	kindAnswered    = "answered"
	kindAborted     = "aborted"
	kindAbandoned   = "caller-gone"
)

// statusClientGone is logged when the caller went away; nobody reads it.
const statusClientGone = 499

// refuse sends the problem at once, with the time to come back.
func (e *Entry) refuse(w http.ResponseWriter, p problem) {
	body := wire.Problem{
		Type: p.kind, Title: p.title, Status: p.status, Detail: p.detail, NotRun: p.notRun,
		RetryAfterMs: int(p.after.Milliseconds()),
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(notRunHeader, strconv.FormatBool(p.notRun))
	h.Set(hostHeader, string(e.seams.Host))
	if p.after > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.after.Seconds()))))
	}
	w.WriteHeader(p.status)
	_ = json.NewEncoder(w).Encode(body)
}

// callersFault lists the outcomes that do not count towards a service level, since the caller caused them.
var callersFault = map[string]bool{
	kindKey: true, kindShift: true, kindTeamRate: true, kindPoison: true, kindBadRequest: true, kindAbandoned: true, kindInProgress: true,
}

// Counts tells whether the sample counts towards the service level.
func (s Sample) Counts() bool { return !callersFault[s.Outcome] }

// Bad tells whether the request was not answered, or later than the service's latency target when it states one.
func (s Sample) Bad() bool {
	return s.Outcome != kindAnswered || (s.Limit > 0 && s.Took > s.Limit)
}
