package canary_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jayshift/core/canary"
)

// TestGoodMoveEndsInTime verifies that a move to a good version ends before its deadline, even when steps and
// comparisons are delayed as on a busy machine.
func TestGoodMoveEndsInTime(t *testing.T) {
	const limit = 20 * time.Second
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		start := time.UnixMilli(1_000_000)
		deadline := start.Add(limit)
		step := canary.Step{Share: canary.DefaultShare, Since: start}
		now, done := start, false
		for !done {
			now = now.Add(time.Duration(1000+random.IntN(800)) * time.Millisecond)
			mayAdvance := random.IntN(2) > 0
			share, ended := canary.Next(now, step, deadline, mayAdvance)
			if share != step.Share {
				now = now.Add(time.Duration(random.IntN(800)) * time.Millisecond) // until the step is seen
				step = canary.Step{Share: share, Since: now}
			}
			done = ended
		}
		if now.After(deadline) {
			t.Errorf("seed %d: done after %s of %s", seed, now.Sub(start), limit)
		}
	}
}
