package trial_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/trial"
)

var now = time.UnixMilli(1_000_000)

// series holds as many requests and failures, all ended at the same moment.
func series(requests, failures float64) trial.Series {
	const perRequest = 10.0 // milliseconds
	var s trial.Series
	s.Add(now, trial.Tally{Requests: requests, Failures: failures, Latency: perRequest * requests})
	return s
}

// TestJudgeFailures compares failures of a new version with those of the old one.
func TestJudgeFailures(t *testing.T) {
	for name, c := range map[string]struct {
		before, after trial.Series
		bad           bool
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
			reason := trial.Judge(map[string]trial.Series{"r": c.before}, map[string]trial.Series{"r": c.after})
			is.Equal(reason != "", c.bad) // reason
		})
	}
}

// TestJudgeComparesSameMoments gives both versions the same slow and failing seconds, in which the new one had most of
// its requests.
func TestJudgeComparesSameMoments(t *testing.T) {
	is := is.New(t)
	var before, after trial.Series
	for i := range 10 {
		at := now.Add(time.Duration(i) * time.Second)
		took, failed, fresh := 5.0, 0.0, 2.0
		if i > 6 {
			took, failed, fresh = 50, 0.2, 50
		}
		before.Add(at, trial.Tally{Requests: 100, Failures: 100 * failed, Latency: 100 * took})
		after.Add(at, trial.Tally{Requests: fresh, Failures: fresh * failed, Latency: fresh * took})
	}
	routes := func(s trial.Series) map[string]trial.Series { return map[string]trial.Series{"r": s} }
	is.Equal(trial.Judge(routes(before), routes(after)), "")
}

// TestJudgedLeavesNoDoubt lets the share grow only when enough requests ended, and they look neither slow nor failing.
func TestJudgedLeavesNoDoubt(t *testing.T) {
	before := series(1000, 2)
	for name, c := range map[string]struct {
		requests, failures, took float64
		judged                   bool
	}{
		"enough and good":             {requests: 20, took: 11, judged: true},
		"too few":                     {requests: 19, took: 11},
		"as few, one failed":          {requests: 20, failures: 1, took: 11},
		"one failed of twice as many": {requests: 40, failures: 1, took: 11, judged: true},
		"look slow":                   {requests: 60, took: 30},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var after trial.Series
			after.Add(now, trial.Tally{Requests: c.requests, Failures: c.failures, Latency: c.requests * c.took})
			is.Equal(trial.Judged(map[string]trial.Series{"r": before}, map[string]trial.Series{"r": after}), c.judged)
		})
	}
}
