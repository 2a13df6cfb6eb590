package trial_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jayshift/core/trial"
)

// TestGoodMoveEndsInTime plays the steps of a good move whose statements and judgements come late, as on a busy machine,
// and holds its end to the time limit.
func TestGoodMoveEndsInTime(t *testing.T) {
	const within = 20 * time.Second
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.UnixMilli(1_000_000)
		by := start.Add(within)
		at := trial.Step{Share: trial.DefaultShare, Since: start}
		now, done := start, false
		for !done {
			now = now.Add(time.Duration(1000+random.IntN(800)) * time.Millisecond)
			judged := random.IntN(2) > 0
			share, ended := trial.Next(now, at, by, judged)
			if share != at.Share {
				now = now.Add(time.Duration(random.IntN(800)) * time.Millisecond) // until the step is seen
				at = trial.Step{Share: share, Since: now}
			}
			done = ended
		}
		if now.After(by) {
			t.Errorf("seed %d: done after %s of %s", seed, now.Sub(start), within)
		}
	}
}
