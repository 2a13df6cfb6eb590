package edge

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jayshift/core/place"
	"jayshift/io/conns"
	"jayshift/io/httpd"
)

// Outcome names what became of a request, in logs and metrics.
type Outcome string

// Outcomes of requests besides the reasons of package place.
const (
	outcomeAnswered     Outcome = "answered"
	outcomeServerFailed Outcome = "server-failed"
	outcomeLoading      Outcome = "no-configuration"
	outcomeNoRoute      Outcome = "no-route"
	outcomeKey          Outcome = "key-refused"
	outcomeRate         Outcome = "team-rate"
	outcomePoison       Outcome = "poison-request"
	outcomeTooLarge     Outcome = "body-too-large"
	outcomeBody         Outcome = "body-broken"
	outcomeMisdirected  Outcome = "misdirected"
	outcomeShed         Outcome = "shed"
	outcomeUnreachable  Outcome = "unreachable"
	outcomeAbandoned    Outcome = "caller-left"
	outcomeSilent       Outcome = "silent"
	outcomeBroken       Outcome = "broken"
	outcomeForeign      Outcome = "foreign-answer"
)

// verdict says what may be done after an attempt.
type verdict int

const (
	passOn     verdict = iota // the reply goes to the caller
	notSent                   // no server has seen the request
	notRun                    // a server has refused it
	mayHaveRun                // a server may have run it
)

// reply is what the caller gets.
type reply struct {
	outcome Outcome
	verdict verdict
	status  int
	after   time.Duration   // when to come back, zero for not stated
	answer  *conns.Response // of a backend server, nil for a reply of jayshift's own
	abort   bool            // the connection is to end without an answer
}

// refusal is an answer that promises that the request has not run and will not run.
func refusal(o Outcome, status int, after time.Duration) *reply {
	return &reply{outcome: o, status: status, after: max(after, leastRetryAfter)}
}

const leastRetryAfter = 50 * time.Millisecond

// final is an answer after which the request must not come again.
func final(o Outcome, status int) *reply { return &reply{outcome: o, status: status} }

// broken ends the connection, since the caller's own request broke off.
func broken(o Outcome) *reply { return &reply{outcome: o, abort: true} }

func retryable(o Outcome, v verdict) *reply { return &reply{outcome: o, verdict: v} }

func passed(a *conns.Response, v verdict) *reply {
	return &reply{outcome: outcomeAnswered, verdict: v, status: a.Status, answer: a}
}

// better tells whether the reply says more to the caller than an earlier one.
func (r *reply) better(last *reply) bool { return last == nil || r.answer != nil || last.answer == nil }

// giveUp returns the reply when no further server is tried: a server's own failure if there was one.
func (q *request) giveUp(last *reply, no *place.Refusal) *reply {
	if last == nil {
		return refusal(Outcome(no.Reason), http.StatusServiceUnavailable, no.RetryAfter)
	}
	if last.answer != nil || q.mayRun {
		return q.settle(last)
	}
	r := refusal(last.outcome, http.StatusServiceUnavailable, leastRetryAfter)
	if no != nil {
		r.after = no.RetryAfter
	}
	return r
}

// settle makes the reply of the last try final. What may have run is never called not run.
func (q *request) settle(r *reply) *reply {
	if r.answer != nil {
		return r
	}
	switch {
	case !q.mayRun:
		return refusal(r.outcome, http.StatusServiceUnavailable, shedAfter)
	case r.outcome == outcomeSilent:
		return final(r.outcome, http.StatusGatewayTimeout)
	default:
		return final(r.outcome, http.StatusBadGateway)
	}
}

const shedAfter = 100 * time.Millisecond

// http makes the reply as the caller gets it.
func (r *reply) http(q *request) *httpd.Response {
	switch {
	case r.abort:
		return &httpd.Response{Abort: true}
	case r.answer == nil:
		return r.own(q)
	}
	a := r.answer
	h := a.Header
	stripConnection(h)
	length, stated := r.length(q)
	if !stated {
		length = -1
	}
	return &httpd.Response{Status: a.Status, Header: h, Body: a.Body, BodyStream: a.BodyStream, ContentLength: length}
}

// own makes an answer of jayshift's own.
func (r *reply) own(q *request) *httpd.Response {
	h := http.Header{"Content-Type": {"text/plain"}}
	if id := q.id(); id != "" {
		h.Set(q.dialect.RequestID, id)
	}
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.after.Seconds()*100)/100, 'f', -1, 64))
	}
	text := string(r.outcome) + "\n"
	reply := &httpd.Response{Status: r.status, Header: h, ContentLength: int64(len(text))}
	if q.r.Method != http.MethodHead {
		reply.Body = []byte(text)
	}
	return reply
}

// length returns the length of the body as it is passed on; answers without a body state none of their own.
func (r *reply) length(q *request) (int64, bool) {
	a := r.answer
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		return 0, false
	case q.r.Method == http.MethodHead:
		return a.ContentLength, a.ContentLength >= 0
	case a.BodyStream == nil:
		return int64(len(a.Body)), true
	default:
		return a.ContentLength, a.ContentLength >= 0
	}
}

func splitList(fields string) []string {
	list := strings.Split(fields, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}
