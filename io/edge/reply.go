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

// Outcome is the outcome of a request as it appears in replies, logs and metrics.
type Outcome string

// Outcomes of requests. The values of place.Reason are used as outcomes too.
const (
	outcomeAnswered        Outcome = "answered"
	outcomeServerFailed    Outcome = "server-failed"
	outcomeNoConfiguration Outcome = "no-configuration"
	outcomeCopyExpired     Outcome = "copy-expired" // this host's copy of the store is too old to be used
	outcomeOutdated        Outcome = "outdated"     // the selected server left, or the copy expired, before the request was sent
	outcomeStopping        Outcome = "stopping"     // this host stops before the request's deadline
	outcomeNoRoute         Outcome = "no-route"
	outcomeKeyRefused      Outcome = "key-refused"
	outcomeTeamRate        Outcome = "team-rate"
	outcomePoison          Outcome = "poison-request"
	outcomeTooLarge        Outcome = "body-too-large"
	outcomeBodyBroken      Outcome = "body-broken"
	outcomeBodySlow        Outcome = "body-slow"   // the body did not arrive within the route's timeout
	outcomeMemory          Outcome = "memory-full" // this host has no memory for the body, or needs it for others
	outcomeMisdirected     Outcome = "misdirected"
	outcomeShed            Outcome = "shed"
	outcomeUnreachable     Outcome = "unreachable"
	outcomeCallerLeft      Outcome = "caller-left"
	outcomeSilent          Outcome = "silent" // no response before the deadline
	outcomeBroken          Outcome = "broken"
	outcomePeerRefused     Outcome = "peer-refused"   // the peer that the request was forwarded to could not have it run
	outcomePeerUnclear     Outcome = "peer-unclear"   // the peer did not state whether the request has run
	outcomeBehind          Outcome = "behind"         // forwarded by a peer that has a later configuration
	outcomeCutOff          Outcome = "cut-off"        // forwarded by a peer, but this host reaches no server either
	outcomeForeign         Outcome = "foreign-answer" // response that the server did not sign, or that has a content encoding
)

// attemptStatus is the result of an attempt, which decides whether the request may be retried.
type attemptStatus int

const (
	forwardable attemptStatus = iota // the response is to be forwarded to the caller
	notSent                          // no byte of the request was sent to a server
	notRun                           // the server refused the request without running it
	mayHaveRun                       // the server may have run the request
)

// reply is the reply to the caller: a backend server's response, or a status and outcome of jayshift itself.
type reply struct {
	outcome       Outcome
	attemptStatus attemptStatus
	status        int
	retryAfter    time.Duration   // value of Retry-After, zero to omit the header
	response      *conns.Response // response of a backend server, nil if jayshift itself replies
	attempt       int             // index of the attempt that the response came from
	release       func()          // releases the response once it is forwarded; nil if there is none
	abort         bool            // close the connection without a reply
}

// refusal returns a reply with Retry-After, which guarantees that the request has not run and will not run.
func refusal(o Outcome, status int, retryAfter time.Duration) *reply {
	return &reply{outcome: o, status: status, retryAfter: max(retryAfter, minRetryAfter)}
}

const minRetryAfter = 50 * time.Millisecond

// finalError returns a reply without Retry-After, after which the caller must not send the request again.
func finalError(o Outcome, status int) *reply { return &reply{outcome: o, status: status} }

// abortConnection returns a reply that closes the connection, because the caller's request was incomplete.
func abortConnection(o Outcome) *reply { return &reply{outcome: o, abort: true} }

func failedAttempt(o Outcome, s attemptStatus) *reply { return &reply{outcome: o, attemptStatus: s} }

func forwarded(response *conns.Response, s attemptStatus) *reply {
	return &reply{outcome: outcomeAnswered, attemptStatus: s, status: response.Status, response: response}
}

// serverReply returns the reply for a backend server's response that does not state that the request was not run. Callers repeat
// an unsafe request after a status that promises this, so that it is replaced by an error of jayshift itself.
func (q *request) serverReply(response *conns.Response) *reply {
	switch {
	case !q.idempotent() && promisesNotRun(response.Status):
		return failedAttempt(outcomeServerFailed, mayHaveRun)
	case response.Status < http.StatusInternalServerError:
		return forwarded(response, forwardable)
	}
	r := forwarded(response, mayHaveRun)
	r.outcome = outcomeServerFailed
	return r
}

// promisesNotRun reports whether callers read the status as a promise that the request has not run and will not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// betterThan reports whether the reply replaces an earlier one (nil for none) as the one to send if all attempts fail.
// Replies with a server's response are preferred, then later ones.
func (r *reply) betterThan(other *reply) bool {
	return other == nil || r.response != nil || other.response == nil
}

// replyWithoutServer returns the reply if no server can take a further attempt: a server's failure response if there is
// one, otherwise an error of jayshift itself. The refusal is nil if the retry budget is exhausted.
func (q *request) replyWithoutServer(best *reply, refused *place.Refusal) *reply {
	if q.rejection != nil && !q.mayHaveRun {
		return q.rejection
	}
	if best == nil {
		return refusal(Outcome(refused.Reason), http.StatusServiceUnavailable, refused.RetryAfter)
	}
	if best.response != nil || q.mayHaveRun {
		return q.finalReply(best)
	}
	r := refusal(best.outcome, http.StatusServiceUnavailable, minRetryAfter)
	if refused != nil {
		r.retryAfter = refused.RetryAfter
	}
	return r
}

// finalReply returns the reply to the caller if all attempts have failed, from the best of their replies. A request that
// may have run is never reported as not run.
func (q *request) finalReply(r *reply) *reply {
	if r.response != nil {
		return r
	}
	switch {
	case !q.mayHaveRun:
		return refusal(r.outcome, http.StatusServiceUnavailable, max(defaultRetryAfter, r.retryAfter))
	case r.outcome == outcomeSilent:
		return finalError(r.outcome, http.StatusGatewayTimeout)
	default:
		return finalError(r.outcome, http.StatusBadGateway)
	}
}

const defaultRetryAfter = 100 * time.Millisecond

// toHTTP converts the reply for the HTTP server.
func (r *reply) toHTTP(q *request) *httpd.Response {
	switch {
	case r.abort:
		return &httpd.Response{Abort: true}
	case r.response == nil:
		return r.localReply(q)
	}
	response := r.response
	h := response.Header
	removeHopByHop(h)
	length, known := r.contentLength(q)
	if !known {
		length = -1
	}
	return &httpd.Response{
		Status: response.Status, Header: h, Body: response.Body, BodyStream: response.BodyStream, ContentLength: length,
		Release: r.release,
	}
}

// localReply returns a reply of jayshift itself, with the outcome as its body.
func (r *reply) localReply(q *request) *httpd.Response {
	h := http.Header{"Content-Type": {"text/plain"}}
	if id := q.id(); id != "" {
		h.Set(q.protocol.RequestID, id)
	}
	if r.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(math.Ceil(r.retryAfter.Seconds()*100)/100, 'f', -1, 64))
	}
	text := string(r.outcome) + "\n"
	reply := &httpd.Response{Status: r.status, Header: h, ContentLength: int64(len(text))}
	if q.r.Method != http.MethodHead {
		reply.Body = []byte(text)
	}
	return reply
}

// contentLength returns the Content-Length to send to the caller, and false if it is unknown or the status does not allow
// a body.
func (r *reply) contentLength(q *request) (int64, bool) {
	response := r.response
	switch {
	case response.Status == http.StatusNoContent || response.Status == http.StatusNotModified:
		return 0, false
	case q.r.Method == http.MethodHead:
		return response.ContentLength, response.ContentLength >= 0
	case response.BodyStream == nil:
		return int64(len(response.Body)), true
	default:
		return response.ContentLength, response.ContentLength >= 0
	}
}

func splitList(fields string) []string {
	list := strings.Split(fields, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}
