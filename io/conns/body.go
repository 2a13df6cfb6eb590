package conns

import (
	"bytes"
	"context"
	"io"
	"net/http"
)

// bufferBody returns the body, or its start if it is streamed: it is larger than maxBufferedBody, or the memory for large bodies is used up.
// The memory that it reserves is freed when ctx ends.
func (p *Pool) bufferBody(ctx context.Context, r Request, httpResp *http.Response) (body []byte, complete bool, err error) {
	if httpResp.Body == http.NoBody {
		return nil, true, nil
	}
	length := httpResp.ContentLength
	if length >= 0 && length <= maxSmallBody {
		body, err = io.ReadAll(httpResp.Body)
		return body, err == nil, err
	}
	if length <= maxBufferedBody && p.reserve(ctx, maxBufferedBody) {
		body, complete, err = readStart(httpResp.Body, maxBufferedBody)
	}
	if complete || err != nil {
		return body, complete, err
	}
	if r.MayStream != nil && !r.MayStream() {
		if body, complete, err = p.bufferWhole(ctx, httpResp, body); complete || err != nil {
			return body, complete, err
		}
		r.NotBuffered()
	}
	if body != nil {
		return body, false, nil
	}
	return readStart(httpResp.Body, maxSmallBody)
}

// bufferWhole returns the whole body, of which start was read already, or as much of it as there is memory for.
func (p *Pool) bufferWhole(ctx context.Context, httpResp *http.Response, start []byte) (body []byte, complete bool, err error) {
	capacity := int64(2 * maxBufferedBody)
	if httpResp.ContentLength >= 0 {
		capacity = httpResp.ContentLength + 1 // so that the end is read too
	}
	for body = start; p.reserve(ctx, capacity); capacity *= 2 {
		grown := make([]byte, capacity)
		n := copy(grown, body)
		for n < len(grown) && err == nil {
			var read int
			read, err = httpResp.Body.Read(grown[n:])
			n += read
		}
		body = grown[:n]
		if err == io.EOF {
			return body, true, nil
		}
		if err != nil {
			return nil, false, err
		}
	}
	return body, false, nil
}

// reserve reserves memory for a large body until ctx ends. It returns false if less is free.
func (p *Pool) reserve(ctx context.Context, bytes int64) bool {
	if !p.buffers.take(bytes) {
		return false
	}
	context.AfterFunc(ctx, func() { p.buffers.release(bytes) })
	return true
}

// readStart returns the first maxBytes of the body, and whether that was the whole body.
func readStart(body io.Reader, maxBytes int64) ([]byte, bool, error) {
	var start bytes.Buffer
	_, err := io.CopyN(&start, body, maxBytes)
	if err == io.EOF {
		return start.Bytes(), true, nil
	}
	return start.Bytes(), false, err
}
