package trial_test

import (
	"testing"

	"github.com/matryer/is"

	"jayshift/core/trial"
)

func tally(requests, failures float64) trial.Tally {
	const perRequest = 10.0 // milliseconds
	return trial.Tally{Requests: requests, Failures: failures, Latency: perRequest * requests, Squares: perRequest * perRequest * requests}
}

// TestJudgeFailures compares failures of a new version with those of the old one.
func TestJudgeFailures(t *testing.T) {
	for name, c := range map[string]struct {
		before, after trial.Tally
		bad           bool
	}{
		"all fail, none before":               {tally(100, 0), tally(6, 6), true},
		"all fail, as the few before did":     {tally(6, 6), tally(4, 4), false},
		"all fail, as the many before did":    {tally(60, 60), tally(20, 20), false},
		"some fail, route never seen before":  {tally(0, 0), tally(6, 6), true},
		"one fails":                           {tally(100, 0), tally(50, 1), false},
		"half fail, few before and none bad":  {tally(5, 0), tally(20, 10), true},
		"as many fail as before, many before": {tally(1000, 50), tally(200, 12), false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			reason := trial.Judge(map[string]trial.Tally{"r": c.before}, map[string]trial.Tally{"r": c.after})
			is.Equal(reason != "", c.bad) // reason
		})
	}
}
