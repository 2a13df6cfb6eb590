package canary_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/canary"
)

var now = time.UnixMilli(1_000_000)

// series returns a series with the given numbers of requests and failures, which all ended at the same time.
func series(requests, failures float64) canary.Series {
	const perRequest = 10.0 // milliseconds
	var s canary.Series
	s.Add(now, canary.Tally{Requests: requests, Failures: failures, LatencySum: perRequest * requests})
	return s
}

// TestJudgeFailures verifies when the failures of a new version count as too many compared with the old version's.
func TestJudgeFailures(t *testing.T) {
	for name, c := range map[string]struct {
		baseline, candidate canary.Series
		bad                 bool
	}{
		"all fail, none before":               {series(100, 0), series(6, 6), true},
		"all fail, as the few before did":     {series(6, 6), series(4, 4), false},
		"all fail, as the many before did":    {series(60, 60), series(20, 20), false},
		"some fail, route never seen before":  {series(0, 0), series(6, 6), true},
		"one fails":                           {series(100, 0), series(50, 1), false},
		"half fail, few before and none bad":  {series(5, 0), series(20, 10), true},
		"as many fail as before, many before": {series(1000, 50), series(200, 12), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reason := canary.Judge(map[string]canary.Series{"r": c.baseline}, map[string]canary.Series{"r": c.candidate})
			is.Equal(reason != "", c.bad) // reason
		})
	}
}

// TestJudgeComparesSameSlots verifies that a new version is not blamed for seconds in which both versions were slow and
// failing, when it had most of its requests in those seconds.
func TestJudgeComparesSameSlots(t *testing.T) {
	is := is.New(t)
	var baseline, candidate canary.Series
	for i := range 10 {
		at := now.Add(time.Duration(i) * time.Second)
		latency, failureRate, requests := 5.0, 0.0, 2.0
		if i > 6 {
			latency, failureRate, requests = 50, 0.2, 50
		}
		baseline.Add(at, canary.Tally{Requests: 100, Failures: 100 * failureRate, LatencySum: 100 * latency})
		candidate.Add(at, canary.Tally{Requests: requests, Failures: requests * failureRate, LatencySum: requests * latency})
	}
	routes := func(s canary.Series) map[string]canary.Series { return map[string]canary.Series{"r": s} }
	is.Equal(canary.Judge(routes(baseline), routes(candidate)), "")
}

// TestMayAdvance verifies that the share grows only after enough requests have ended that are neither slow nor failing
// too often.
func TestMayAdvance(t *testing.T) {
	baseline := series(1000, 2)
	for name, c := range map[string]struct {
		requests, failures, latency float64
		mayAdvance                  bool
	}{
		"enough and good":         {requests: 20, latency: 11, mayAdvance: true},
		"too few":                 {requests: 19, latency: 11},
		"too few for one failure": {requests: 20, failures: 1, latency: 11},
		"enough for one failure":  {requests: 40, failures: 1, latency: 11, mayAdvance: true},
		"slow":                    {requests: 60, latency: 30},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var candidate canary.Series
			candidate.Add(now, canary.Tally{Requests: c.requests, Failures: c.failures, LatencySum: c.requests * c.latency})
			is.Equal(canary.MayAdvance(map[string]canary.Series{"r": baseline}, map[string]canary.Series{"r": candidate}), c.mayAdvance)
		})
	}
}
