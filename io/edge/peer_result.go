package edge

import (
	"net/http"
	"strconv"
	"time"

	"jayshift/io/conns"
)

// result is what a peer states about its response to a forwarded request. Without a statement the request may have run: the peer
// is of an earlier build.
type result string

const (
	resultResponse   result = "response"     // the response is that of a backend server
	resultNotRun     result = "not-run"      // the response is the peer's own, and no backend server has run the request
	resultMayHaveRun result = "may-have-run" // the response is the peer's own, and a backend server may have run the request
)

// readsResult is the value of resultHeader in a forwarded request: the host reads the result in the response.
const readsResult = "read"

// replyToPeer returns the reply to a forwarded request, which its host can read. A host of an earlier build takes a response without a
// signature for a refusal of this host, unless its status is 502 or 504.
func (q *request) replyToPeer(r *reply) *reply {
	signed := r.response != nil && r.response.Header.Get(q.protocol.Signature) != ""
	if r.response == nil || signed || q.readsResult || q.idempotent() || r.status == http.StatusGatewayTimeout {
		return r
	}
	if r.release != nil {
		r.release()
	}
	return finalError(outcomeServerFailed, http.StatusBadGateway)
}

// resultOf returns what this host states about its reply to a forwarded request.
func resultOf(q *request, r *reply) result {
	switch {
	case r.response != nil:
		return resultResponse
	case q.mayHaveRun || q.running > 0:
		return resultMayHaveRun
	}
	return resultNotRun
}

// takeResult removes the peer's statement from its response. Only backend servers sign responses.
func takeResult(q *request, response *conns.Response) result {
	stated := result(response.Header.Get(resultHeader))
	response.Header.Del(resultHeader)
	if response.Header.Get(q.protocol.Signature) != "" {
		return resultResponse
	}
	return stated
}

// peerReply returns the reply for a peer's response: that of a backend server, or one of the peer itself.
func peerReply(q *request, response *conns.Response) *reply {
	stated := takeResult(q, response)
	switch {
	case stated == resultResponse:
		return q.serverReply(response)
	case stated == resultNotRun:
		return peerRefusal(response)
	case response.Status == http.StatusGatewayTimeout:
		return failedAttempt(outcomeSilent, mayHaveRun)
	case stated == resultMayHaveRun || response.Status == http.StatusBadGateway:
		return failedAttempt(outcomeBroken, mayHaveRun)
	}
	return failedAttempt(outcomePeerUnclear, mayHaveRun)
}

// maxRetryAfterSeconds bounds the Retry-After of a peer that is believed.
const maxRetryAfterSeconds = 60

// peerRefusal returns the reply for a peer's response that no backend server has run the request.
func peerRefusal(response *conns.Response) *reply {
	r := failedAttempt(outcomePeerRefused, notRun)
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil && seconds > 0 && seconds < maxRetryAfterSeconds {
		r.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	return r
}
