package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"jayshift/core/canary"
	"jayshift/core/config"
	"jayshift/core/dedup"
	"jayshift/core/ident"
	"jayshift/core/retry"
	"jayshift/core/route"
	"jayshift/core/share"
)

const (
	copyBufferSize  = 32 << 10 // bytes
	maxRecordedBody = 16 << 10 // largest response body, in bytes, that is recorded with a run
	minThrottleWait = 2 * time.Millisecond
)

// recordedHeaders are the response headers that are recorded with a run.
var recordedHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag"}

// handleResponse forwards a backend server's response to the caller, or returns a problem after which another attempt
// may be made. A server error (5xx) of the new version becomes a problem if the request may be sent again; the next
// attempt then uses the old version. A response with the attempt ID of another request is not forwarded.
func (e *Entry) handleResponse(q *request, s *route.Server, response *http.Response, started time.Time, result *runResult) (retry.Result, *problem) {
	now := time.Now()
	latency := now.Sub(started)
	sentID := response.Request.Header.Get(attemptHeader)
	if echoedID := response.Header.Get(attemptHeader); echoedID != "" && echoedID != sentID {
		s.End(now, route.NoAnswer, 0)
		q.mayHaveRun = true
		return retry.MayHaveRun, &problem{status: http.StatusBadGateway, kind: kindUnavailable, title: "answer belongs to another request", retryAfter: unavailableRetryAfter}
	}
	e.recordLimit(s, response, started)
	e.deps.Rests.RecordAnswer(now, restKey(s), response.StatusCode, response.Header)
	if isShed(response) {
		s.End(now, route.Shed, 0)
		return retry.NotRun, &problem{
			status: http.StatusServiceUnavailable, kind: kindBusy, title: "backend server shed the request",
			notRun: !q.mayHaveRun, retryAfter: busyRetryAfter,
		}
	}
	q.mayHaveRun = true
	if response.StatusCode >= http.StatusInternalServerError {
		e.recordEvidence(q, s, failureKind(response.StatusCode), latency)
		if q.newVersion && q.idempotent() && q.body.replayable() {
			s.End(now, route.Failed, latency)
			q.useProvedVersion()
			return retry.MayHaveRun, &problem{status: http.StatusBadGateway, kind: kindUnavailable, title: "backend server failed", retryAfter: unavailableRetryAfter}
		}
	}
	return retry.MayHaveRun, e.forwardResponse(q, s, response, started, result)
}

// failureKind returns what a server error shows of the version. A server that has not ended in time may merely be busy.
func failureKind(status int) canary.Result {
	if status == http.StatusGatewayTimeout {
		return canary.Lost
	}
	return canary.Failed
}

// isShed reports whether the backend server rejected the request without running it, which it signals by status 503 or
// 429 with a Retry-After header.
func isShed(r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return r.Header.Get("Retry-After") != ""
	}
	return false
}

// forwardResponse streams the response to the caller. If it is cut off, the caller's connection is aborted, so that the
// caller cannot mistake it for a complete response.
func (e *Entry) forwardResponse(q *request, s *route.Server, response *http.Response, started time.Time, result *runResult) *problem {
	h := q.w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	stripHeaders(h)
	for _, name := range []string{attemptHeader, notRunHeader, replayedHeader} {
		h.Del(name) // only hosts state this
	}
	h.Set(hostHeader, string(e.deps.Host))
	q.w.WriteHeader(response.StatusCode)
	bodyStart, err := e.copyBody(q, response, config.RegionPair{From: s.Region, To: e.deps.Location.Region})
	now := time.Now()
	switch {
	case err == nil:
		e.deps.Poison.RecordSuccess(now, q.fingerprint)
		outcome := route.Answered
		if response.StatusCode >= http.StatusInternalServerError {
			outcome = route.Failed
		} else {
			e.recordEvidence(q, s, canary.Succeeded, now.Sub(started))
		}
		s.End(now, outcome, now.Sub(started))
	case q.abandoned():
		s.End(now, route.Abandoned, 0)
	default:
		s.End(now, route.NoAnswer, 0)
		e.recordEvidence(q, s, canary.Lost, now.Sub(started))
	}
	if err != nil {
		q.aborted = true
		q.outcome = kindAborted
		return nil
	}
	if result != nil {
		result.complete = true
		result.outcome = outcomeOf(response, bodyStart)
	}
	return nil
}

// outcomeOf returns the outcome to record for a run, without the body if that exceeds maxRecordedBody.
func outcomeOf(response *http.Response, bodyStart []byte) dedup.Outcome {
	o := dedup.Outcome{Status: response.StatusCode, Header: map[string]string{}, Body: bodyStart}
	if len(bodyStart) > maxRecordedBody {
		o.Body, o.Truncated = nil, true
	}
	for _, name := range recordedHeaders {
		if value := response.Header.Get(name); value != "" {
			o.Header[name] = value
		}
	}
	return o
}

// copyBody streams the body to the caller. For a recorded run it also returns the start of the body: up to
// maxRecordedBody bytes, and one more if the body is larger.
func (e *Entry) copyBody(q *request, response *http.Response, pair config.RegionPair) ([]byte, error) {
	var bodyStart []byte
	source := e.throttle(q.ctx, response.Body, pair)
	flusher, _ := q.w.(http.Flusher)
	buffer := make([]byte, copyBufferSize)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if free := maxRecordedBody + 1 - len(bodyStart); free > 0 && q.runKey != "" {
				bodyStart = append(bodyStart, buffer[:min(n, free)]...)
			}
			if writeErr := q.write(buffer[:n]); writeErr != nil {
				return bodyStart, writeErr
			}
			if flusher != nil && response.ContentLength < 0 {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return bodyStart, nil
		}
		if err != nil {
			return bodyStart, err
		}
	}
}

// write sends bytes to the caller. For a recorded run, a failed write only sets aborted, so that the response is read
// to its end and recorded even if the caller has disconnected.
func (q *request) write(b []byte) error {
	if q.aborted {
		return nil
	}
	_, err := q.w.Write(b)
	if err != nil && q.recorded() {
		q.aborted = true
		return nil
	}
	return err
}

// throttle returns a reader that keeps a stream within the byte limit of the link between two regions, or the source
// itself if the link has no limit.
func (e *Entry) throttle(ctx context.Context, source io.ReadCloser, pair config.RegionPair) io.ReadCloser {
	quantity := share.LinkQuantity(pair)
	if pair.From == pair.To || !e.deps.Loans.HasLimit(quantity) {
		return source
	}
	return &throttledReader{ReadCloser: source, ctx: ctx, entry: e, quantity: quantity}
}

// throttledReader charges the bytes read to the byte limit of a link.
type throttledReader struct {
	io.ReadCloser
	ctx      context.Context
	entry    *Entry
	quantity ident.Quantity
}

// Read charges the bytes to the link before it returns them, and waits while the link's limit is exhausted.
func (t *throttledReader) Read(b []byte) (int, error) {
	n, err := t.ReadCloser.Read(b[:min(len(b), copyBufferSize)])
	for n > 0 {
		refusal := t.entry.deps.Loans.Take(t.ctx, t.quantity, int64(n)*share.Unit)
		if refusal == nil {
			break
		}
		select {
		case <-time.After(max(retryAfter(refusal), minThrottleWait)):
		case <-t.ctx.Done():
			return 0, t.ctx.Err()
		}
	}
	return n, err
}
