package canary

import "time"

const (
	// DefaultShare is the share of the requests that a stage names while a new version is on trial.
	DefaultShare = 0.1
	minDwell     = 1500 * time.Millisecond // shortest time at one share
	maxDwell     = 60 * time.Second
	// endMargin is reserved before the deadline, so that the last step can be stored and take effect on all hosts.
	endMargin = 2 * time.Second
	// slowStepDelay is the time until a step is stored and seen by the hosts of a busy fleet.
	slowStepDelay = 900 * time.Millisecond
	// minSkipShare is the smallest share from which the next step may be skipped when time is short.
	minSkipShare = 0.1
)

// steps are the shares that follow the trial, each with the good outcomes that must be known before.
var steps = []struct{ share, outcomes float64 }{{0.1, 20}, {0.25, 16}, {0.5, 16}, {1, 28}}

// doneOutcomes is the number of good outcomes that must be known before a move is done.
const doneOutcomes = 32.0

// Step is the current share of the new version and the time at which it got that share.
type Step struct {
	Share float64
	Since time.Time
}

// Next returns the share that the new version gets next, which may be the current one, and whether the move is done.
// The share grows only if the proof is sufficient for the next one, however late it is: late is better than bad. The time
// at each share is a fraction of the time that was left when the step began, from minDwell to maxDwell.
func Next(now time.Time, step Step, deadline time.Time, proof Proof) (share float64, done bool) {
	deadline = deadline.Add(-endMargin)
	first := nextStep(step.Share)
	remaining := steps[first:]
	dwell := min(max(deadline.Sub(step.Since)/time.Duration(len(remaining)+2), minDwell), maxDwell)
	if now.Before(step.Since.Add(dwell)) {
		return step.Share, false
	}
	if len(remaining) == 0 {
		return step.Share, proof.Outcomes >= doneOutcomes
	}
	late := deadline.Sub(now) < time.Duration(len(remaining)+1)*(minDwell+slowStepDelay)
	if late && step.Share >= minSkipShare && len(remaining) > 1 && proof.Outcomes >= remaining[1].outcomes {
		return remaining[1].share, false
	}
	if proof.Outcomes >= remaining[0].outcomes {
		return remaining[0].share, false
	}
	return step.Share, false
}

// nextStep returns the index of the first step with a share above the given one.
func nextStep(share float64) int {
	for i, s := range steps {
		if s.share > share {
			return i
		}
	}
	return len(steps)
}
