package conns

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// sendChunked writes a body of unknown length.
func (c *conn) sendChunked(head *bytes.Buffer, r Request) error {
	if _, err := c.Conn.Write(head.Bytes()); err != nil {
		return err
	}
	w := httputil.NewChunkedWriter(c.Conn)
	if _, err := w.Write(r.Body); err != nil {
		return err
	}
	if r.Stream != nil {
		if _, err := io.Copy(w, r.Stream); err != nil {
			return err
		}
	}
	if err := w.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(c.Conn, "\r\n")
	return err
}

// receive reads the answer to the request, past late answers to others.
func (p *Pool) receive(c *conn, r Request) (a *Answer, reusable bool, err error) {
	for range mostStray {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, false, err
		}
		if response.StatusCode < http.StatusOK {
			if response.StatusCode == http.StatusSwitchingProtocols {
				return nil, false, merry.New("unexpected change of protocol")
			}
			continue
		}
		if id := response.Header.Get(p.IDHeader); id != r.ID {
			if id == "" || response.Close {
				return nil, false, merry.Errorf("answer to request %q", id)
			}
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				return nil, false, err
			}
			continue
		}
		return c.body(response)
	}
	return nil, false, merry.New("only answers to other requests came")
}

// body reads the answer's body, or the start of a large one.
func (c *conn) body(response *http.Response) (a *Answer, reusable bool, err error) {
	a = &Answer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	c.life = idleLife
	if stated, ok := keepAlive(response.Header); ok {
		c.life = min(c.life, stated)
	}
	reusable = !response.Close
	a.Body, err = io.ReadAll(io.LimitReader(response.Body, keptBody+1))
	if err != nil {
		return nil, false, err
	}
	if len(a.Body) > keptBody {
		a.Rest = response.Body
	}
	return a, reusable, nil
}

// keepAlive returns how long the server keeps an idle connection, less a margin.
func keepAlive(h http.Header) (time.Duration, bool) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := time.ParseDuration(value + "s")
		if err != nil || seconds < 0 {
			return 0, false
		}
		return seconds * 3 / 4, true
	}
	return 0, false
}

// rest is the remainder of a large body; it gives the connection back at its end.
type rest struct {
	Reader io.ReadCloser
	done   func(whole bool)
	ended  bool
}

// Read reads on, and gives the connection back when the body has ended whole.
func (r *rest) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if err != nil {
		r.end(err == io.EOF)
	}
	return n, err
}

// Close gives up what was not read.
func (r *rest) Close() error {
	r.end(false)
	return nil
}

func (r *rest) end(whole bool) {
	if r.ended {
		return
	}
	r.ended = true
	r.done(whole)
}
