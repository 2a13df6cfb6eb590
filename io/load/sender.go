package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"jayshift/core/wire"
)

const (
	workHeader     = "X-Work-Id"
	resendPause    = 100 * time.Millisecond
	connsPerEntry  = 512
	uploadFillByte = 'u'
)

func newID(random *rand.Rand) string { return fmt.Sprintf("w%016x", random.Uint64()) }

// sender sends single requests.
type sender struct {
	plan      Plan
	transport *http.Transport
	upload    []byte
}

func newSender(plan Plan) *sender {
	return &sender{
		plan:      plan,
		transport: &http.Transport{MaxIdleConnsPerHost: connsPerEntry, DisableCompression: true},
		upload:    bytes.Repeat([]byte{uploadFillByte}, plan.Bytes),
	}
}

func (s *sender) close() { s.transport.CloseIdleConnections() }

// send sends a job, again through another entry when its outcome stays unknown.
func (s *sender) send(ctx context.Context, t Team, j job) Outcome {
	outcome := Unknown
	for try := range s.plan.Resend + 1 {
		if try > 0 {
			time.Sleep(resendPause)
		}
		entries := s.plan.Entries()
		if len(entries) == 0 {
			return NotRun
		}
		outcome = s.once(ctx, t, j, entries[s.index(j.pick, try, len(entries))])
		if outcome != Unknown {
			return outcome
		}
	}
	return outcome
}

// index spreads requests over the entries, with the skew towards the first one.
func (s *sender) index(pick float64, try, n int) int {
	if pick < s.plan.Skew {
		return try % n
	}
	even := (pick - s.plan.Skew) / (1 - s.plan.Skew)
	return (min(int(even*float64(n)), n-1) + try) % n
}

func (s *sender) once(ctx context.Context, t Team, j job, entry string) Outcome {
	r, err := s.request(ctx, t, j, entry)
	if err != nil {
		return NotRun
	}
	response, err := s.transport.RoundTrip(r)
	if err != nil {
		return Unknown
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Unknown
	}
	if response.Header.Get("Content-Type") != "application/problem+json" {
		return whole(response, body, j)
	}
	var p wire.Problem
	if json.Unmarshal(body, &p) != nil {
		return Unknown
	}
	return refused(p)
}

func (s *sender) request(ctx context.Context, t Team, j job, entry string) (*http.Request, error) {
	method, path := http.MethodGet, j.path+"/read/"+j.id
	var body io.Reader
	if j.write {
		method, path = http.MethodPost, j.path+"/write/"+j.id
		body = strings.NewReader(j.id)
	}
	if j.upload {
		body = bytes.NewReader(s.upload)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+t.Key)
	r.Header.Set(workHeader, j.id)
	if j.write {
		r.Header.Set("Idempotency-Key", j.id)
		r.GetBody = nil
	}
	return r, nil
}

// whole checks that the answer is the one to the request: stand-in backend servers name the work's path in it.
func whole(response *http.Response, body []byte, j job) Outcome {
	if response.StatusCode >= http.StatusInternalServerError || !strings.Contains(string(body), j.id) {
		return Unknown
	}
	return Answered
}

func refused(p wire.Problem) Outcome {
	switch {
	case p.Type == "team-rate":
		return RateRefused
	case p.NotRun:
		return NotRun
	}
	return Unknown
}
