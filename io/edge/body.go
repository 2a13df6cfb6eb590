package edge

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"jayshift/core/budget"
)

const (
	maxBufferedBody  = 1 << 20  // bytes; longer bodies are streamed and cannot be retried
	largeBody        = 16 << 10 // bytes above which a server must be available before the body is read
	smallBody        = 64 << 10 // bytes up to which the buffer of a body of known length is allocated at once
	firstBuffer      = 8 << 10  // bytes of the first buffer of other bodies
	bufferGrowth     = 4        // by which the buffer of a body is enlarged
	memoryRetryAfter = 300 * time.Millisecond
	// bodyPart divides the part of the budget that a connection may hold. A body that is longer is streamed after it.
	bodyPart = 2
)

// readBody buffers the body up to maxBufferedBody, or up to what its connection may hold, so that it can be sent more than
// once. Bodies larger than largeBody or of unknown length are read only if a server can take the request now. The caller has
// the route's timeout to send it. It returns a reply if the request is refused.
func (e *Edge) readBody(q *request) *reply {
	if q.r.ContentLength == 0 {
		q.account.BodyRead()
		return nil
	}
	if !e.deps.Reach.CutOff() && (q.r.ContentLength < 0 || q.r.ContentLength > largeBody) {
		if refused := e.checkRoom(q); refused != nil && !e.mayWait(q, refused) {
			e.deps.Versions.Refuse(q.service)
			return refusal(Outcome(refused.Reason), http.StatusServiceUnavailable, refused.RetryAfter)
		}
	}
	source := io.Reader(q.r.Body)
	if maxBytes := q.table.Limits.MaxBodyBytes; maxBytes > 0 {
		source = http.MaxBytesReader(nil, q.r.Body, maxBytes)
	}
	now := time.Now()
	q.account.SetReadDeadline(q.bodyDeadline())
	q.held.AwaitClient(now, q.account.Interrupt)
	err := q.bufferBody(source)
	if err == nil && q.restOfBody == nil {
		q.account.BodyRead()
	}
	if shed := q.held.Complete(); shed != nil {
		err = shed
	}
	if err == nil {
		return nil
	}
	q.body = nil
	q.held.Release()
	return bodyRefusal(err)
}

// bodyDeadline returns the time until which the caller may send the body. It does not depend on the caller's own deadline, after
// which the request is answered without being run.
func (q *request) bodyDeadline() time.Time {
	if q.route.Timeout > 0 {
		return q.started.Add(q.route.Timeout)
	}
	return q.started.Add(defaultTimeout)
}

// bodyRefusal returns the reply to a request whose body could not be read.
func bodyRefusal(err error) *reply {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return finalError(outcomeTooLarge, http.StatusRequestEntityTooLarge)
	case errors.Is(err, budget.ErrShed), errors.Is(err, budget.ErrFull), errors.Is(err, budget.ErrTeam), errors.Is(err, budget.ErrConnection):
		return refusal(outcomeMemory, http.StatusServiceUnavailable, memoryRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return refusal(outcomeBodySlow, http.StatusRequestTimeout, defaultRetryAfter)
	}
	return abortConnection(outcomeBodyBroken)
}

// bufferBody reads the body into a buffer that grows with what has arrived. Memory is charged before it is allocated.
func (q *request) bufferBody(source io.Reader) error {
	limit := maxBufferedBody
	if part := int(q.account.Part()); part > 0 {
		limit = min(limit, part/bodyPart)
	}
	for len(q.body) < limit {
		if len(q.body) == cap(q.body) {
			if err := q.enlargeBuffer(limit); err != nil {
				return err
			}
		}
		n, err := source.Read(q.body[len(q.body):cap(q.body)])
		q.body = q.body[:len(q.body)+n]
		q.held.Progress(time.Now(), budget.Bytes(n))
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
	q.restOfBody = source
	return nil
}

// enlargeBuffer enlarges the buffer of the body, to at most limit bytes.
func (q *request) enlargeBuffer(limit int) error {
	size := max(firstBuffer, bufferGrowth*cap(q.body))
	if cap(q.body) < int(budget.Small) {
		size = min(size, int(budget.Small)) // a body of up to this size may use the reserve
	}
	if length := q.r.ContentLength; length >= 0 {
		if length <= smallBody {
			size = int(length) + 1
		}
		size = min(size, int(min(length, int64(limit)))+1) // one more byte is read to see the end
	}
	size = min(max(size, len(q.body)+1), limit)
	if err := q.held.Grow(time.Now(), budget.Bytes(size-cap(q.body))); err != nil {
		return err
	}
	body := make([]byte, len(q.body), size)
	copy(body, q.body)
	q.body = body
	return nil
}
