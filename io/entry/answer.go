package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/once"
	"jayshift/core/retry"
	"jayshift/core/route"
	"jayshift/core/share"
)

const (
	copyBytes   = 32 << 10
	keptAnswer  = 16 << 10 // largest answer that a recorded run keeps
	pacingLeast = 2 * time.Millisecond
)

// keptHeaders are the fields of an answer that a recorded run keeps.
var keptHeaders = []string{"Content-Type", "Content-Language", "Location", "Etag"}

// answered passes a backend server's answer on, or turns it into a problem that allows another attempt.
func (e *Entry) answered(q *request, s *route.Server, response *http.Response, started time.Time, result *runResult) (retry.Result, *problem) {
	now := time.Now()
	took := now.Sub(started)
	sent := response.Request.Header.Get(attemptHeader)
	if echoed := response.Header.Get(attemptHeader); echoed != "" && echoed != sent {
		s.End(now, route.Lost, 0)
		q.mayHaveRun = true
		return retry.Unknown, &problem{status: http.StatusBadGateway, kind: kindUnavailable, title: "answer belongs to another request", after: unavailAfter}
	}
	if shed(response) {
		s.End(now, route.Shed, 0)
		return retry.NotRun, &problem{
			status: http.StatusServiceUnavailable, kind: kindBusy, title: "backend server shed the request",
			notRun: !q.mayHaveRun, after: busyAfter,
		}
	}
	q.mayHaveRun = true
	if response.StatusCode >= http.StatusInternalServerError {
		e.evidence(q, s, true, took)
		if q.fresh && q.idempotent() && q.body.replayable() {
			s.End(now, route.Failed, took)
			q.version, q.fresh = ident.Version(q.service.Version), false
			return retry.Unknown, &problem{status: http.StatusBadGateway, kind: kindUnavailable, title: "backend server failed", after: unavailAfter}
		}
	}
	return retry.Unknown, e.pass(q, s, response, started, result)
}

// shed tells whether a backend server refused the request without running it.
func shed(r *http.Response) bool {
	switch r.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return r.Header.Get("Retry-After") != ""
	}
	return false
}

// pass streams an answer to the caller. An answer that breaks off aborts the caller's connection, so that it is never taken for whole.
func (e *Entry) pass(q *request, s *route.Server, response *http.Response, started time.Time, result *runResult) *problem {
	h := q.w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	stripHeaders(h)
	h.Del(attemptHeader)
	h.Set(hostHeader, string(e.seams.Host))
	q.w.WriteHeader(response.StatusCode)
	kept, err := e.copyAnswer(q, response, config.RegionPair{From: s.Region, To: e.seams.Place.Region})
	now := time.Now()
	switch {
	case err == nil:
		e.seams.Poison.Succeeded(now, q.print)
		outcome := route.Answered
		if response.StatusCode >= http.StatusInternalServerError {
			outcome = route.Failed
		} else {
			e.evidence(q, s, false, now.Sub(started))
		}
		s.End(now, outcome, now.Sub(started))
	case q.abandoned():
		s.End(now, route.Abandoned, 0)
	default:
		s.End(now, route.Lost, 0)
		e.evidence(q, s, true, now.Sub(started))
	}
	if err != nil {
		q.aborted = true
		q.outcome = kindAborted
		return nil
	}
	if result != nil {
		result.whole = true
		result.outcome = outcomeOf(response, kept)
	}
	return nil
}

func outcomeOf(response *http.Response, kept []byte) once.Outcome {
	o := once.Outcome{Status: response.StatusCode, Header: map[string]string{}, Body: kept}
	if len(kept) > keptAnswer {
		o.Body, o.Truncated = nil, true
	}
	for _, name := range keptHeaders {
		if value := response.Header.Get(name); value != "" {
			o.Header[name] = value
		}
	}
	return o
}

// copyAnswer streams the body and returns its start, one byte more than is kept when there is more.
func (e *Entry) copyAnswer(q *request, response *http.Response, pair config.RegionPair) ([]byte, error) {
	var kept []byte
	source := e.paced(q.ctx, response.Body, pair)
	flusher, _ := q.w.(http.Flusher)
	buffer := make([]byte, copyBytes)
	for {
		n, err := source.Read(buffer)
		if n > 0 {
			if room := keptAnswer + 1 - len(kept); room > 0 && q.runKey != "" {
				kept = append(kept, buffer[:min(n, room)]...)
			}
			if writeErr := q.write(buffer[:n]); writeErr != nil {
				return kept, writeErr
			}
			if flusher != nil && response.ContentLength < 0 {
				flusher.Flush()
			}
		}
		if err == io.EOF {
			return kept, nil
		}
		if err != nil {
			return kept, err
		}
	}
}

// write sends bytes to the caller. A recorded run is read to its end even when the caller has gone.
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

// paced limits a stream to the bytes that the link between two regions allows, when there is such a limit.
func (e *Entry) paced(ctx context.Context, source io.ReadCloser, pair config.RegionPair) io.ReadCloser {
	quantity := share.LinkQuantity(pair)
	if pair.From == pair.To || !e.seams.Loans.HasLimit(quantity) {
		return source
	}
	return &pacedReader{ReadCloser: source, ctx: ctx, entry: e, quantity: quantity}
}

type pacedReader struct {
	io.ReadCloser
	ctx      context.Context
	entry    *Entry
	quantity ident.Quantity
}

// Read charges the bytes to the link before it hands them on, waiting while the link is full.
func (p *pacedReader) Read(b []byte) (int, error) {
	n, err := p.ReadCloser.Read(b[:min(len(b), copyBytes)])
	for n > 0 {
		refused := p.entry.seams.Loans.Take(p.ctx, p.quantity, int64(n)*share.Unit)
		if refused == nil {
			break
		}
		select {
		case <-time.After(max(afterOf(refused), pacingLeast)):
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		}
	}
	return n, err
}
