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
	resendDelay    = 100 * time.Millisecond
	connsPerEntry  = 512
	uploadFillByte = 'u'
)

func newID(rng *rand.Rand) string { return fmt.Sprintf("w%016x", rng.Uint64()) }

// sender sends requests to entry hosts.
type sender struct {
	plan      Plan
	transport *http.Transport
	upload    []byte
}

func newSender(plan Plan) *sender {
	return &sender{
		plan:      plan,
		transport: &http.Transport{MaxIdleConnsPerHost: connsPerEntry, DisableCompression: true},
		upload:    bytes.Repeat([]byte{uploadFillByte}, plan.UploadBytes),
	}
}

func (s *sender) close() { s.transport.CloseIdleConnections() }

// send sends a job. While the outcome is unknown, it sends the job again to the next entry host, up to MaxResends
// times.
func (s *sender) send(ctx context.Context, t Team, j job) Outcome {
	outcome := Unknown
	for attempt := range s.plan.MaxResends + 1 {
		if attempt > 0 {
			time.Sleep(resendDelay)
		}
		entries := s.plan.Entries()
		if len(entries) == 0 {
			return NotRun
		}
		outcome = s.sendOnce(ctx, t, j, entries[s.entryIndex(j.entryFraction, attempt, len(entries))])
		if outcome != Unknown {
			return outcome
		}
	}
	return outcome
}

// entryIndex maps a number in [0, 1) to one of n entry hosts: numbers below Skew to the first, the others in equal
// parts to all. Each further attempt goes to the next entry host.
func (s *sender) entryIndex(fraction float64, attempt, n int) int {
	if fraction < s.plan.Skew {
		return attempt % n
	}
	scaled := (fraction - s.plan.Skew) / (1 - s.plan.Skew)
	return (min(int(scaled*float64(n)), n-1) + attempt) % n
}

func (s *sender) sendOnce(ctx context.Context, t Team, j job, entry string) Outcome {
	r, err := s.newRequest(ctx, t, j, entry)
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
		return classifyResponse(response, body, j)
	}
	var p wire.Problem
	if json.Unmarshal(body, &p) != nil {
		return Unknown
	}
	return classifyProblem(p)
}

func (s *sender) newRequest(ctx context.Context, t Team, j job, entry string) (*http.Request, error) {
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

// classifyResponse returns Answered for the response to this job: fake backend servers write the request's path, which
// contains the job's id, into the body. It returns Unknown for other bodies and for server errors.
func classifyResponse(response *http.Response, body []byte, j job) Outcome {
	if response.StatusCode >= http.StatusInternalServerError || !strings.Contains(string(body), j.id) {
		return Unknown
	}
	return Answered
}

func classifyProblem(p wire.Problem) Outcome {
	switch {
	case p.Type == "team-rate":
		return RateLimited
	case p.NotRun:
		return NotRun
	}
	return Unknown
}
