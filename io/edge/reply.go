package edge

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/io/conns"
)

type identServer = ident.BackendServer

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
	outcomeBudget       Outcome = "no-retries-left"
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
	after   time.Duration // when to come back, zero for not stated
	answer  *conns.Answer // of a backend server, nil for a reply of jayshift's own
	abort   bool          // the connection is to end without an answer
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

func passed(a *conns.Answer, v verdict) *reply {
	return &reply{outcome: outcomeAnswered, verdict: v, status: a.Status, answer: a}
}

// better tells whether the reply says more to the caller than an earlier one.
func (r *reply) better(last *reply) bool { return last == nil || r.answer != nil || last.answer == nil }

// giveUp returns the reply when no further server is tried: a server's own failure if there was one.
func (q *request) giveUp(last *reply, no *place.Refusal) *reply {
	if last == nil {
		return refusal(Outcome(no.Reason), http.StatusServiceUnavailable, no.After)
	}
	if last.answer != nil || q.mayRun {
		return q.settle(last, nil)
	}
	r := refusal(last.outcome, http.StatusServiceUnavailable, leastRetryAfter)
	if no != nil {
		r.after = no.After
	}
	return r
}

// settle makes an attempt's reply final. What may have run is never called not run.
func (q *request) settle(r, last *reply) *reply {
	if r.answer == nil && last != nil && last.answer != nil {
		r = last
	}
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

// write sends the reply. An answer that breaks off ends the connection, so that it does not look whole.
func (r *reply) write(w http.ResponseWriter, q *request, e *Edge) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTime))
	switch {
	case r.abort:
		panic(http.ErrAbortHandler)
	case r.answer == nil:
		r.writeOwn(w, q)
	default:
		r.pass(w, q)
	}
	e.log(q, r)
}

const writeTime = 15 * time.Second

func (r *reply) writeOwn(w http.ResponseWriter, q *request) {
	h := w.Header()
	h.Set("Content-Type", "text/plain")
	if id := q.id(); id != "" {
		h.Set(q.dialect.RequestID, id)
	}
	if r.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.after.Seconds()*100)/100, 'f', -1, 64))
	}
	text := string(r.outcome) + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(r.status)
	_, _ = io.WriteString(w, text)
}

// pass sends a backend server's answer unchanged.
func (r *reply) pass(w http.ResponseWriter, q *request) {
	a := r.answer
	if a.Rest != nil {
		defer func() { _ = a.Rest.Close() }()
	}
	h := w.Header()
	stripConnection(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	if length, ok := r.length(q); ok {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil || a.Rest == nil {
		return
	}
	if _, err := io.Copy(w, a.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// length returns the length of the body as it is passed on; answers without a body state none of their own.
func (r *reply) length(q *request) (int64, bool) {
	a := r.answer
	switch {
	case a.Status == http.StatusNoContent || a.Status == http.StatusNotModified:
		return 0, false
	case q.r.Method == http.MethodHead:
		return a.Length, a.Length >= 0
	case a.Rest == nil:
		return int64(len(a.Body)), true
	default:
		return a.Length, a.Length >= 0
	}
}

func splitList(fields string) []string {
	list := strings.Split(fields, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}
