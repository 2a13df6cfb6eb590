package canary

import "time"

const (
	// DefaultShare is the share of the requests that a new version gets first, if no other is set.
	DefaultShare = 0.02
	minDwell     = 1500 * time.Millisecond // shortest time at one share
	maxDwell     = 60 * time.Second
	// endMargin is reserved before the deadline, so that the last step can be stored and take effect on all hosts.
	endMargin = 2 * time.Second
	// stepDelay is the time until a step is stored and seen by the hosts, slowStepDelay the same in a busy fleet.
	stepDelay     = 500 * time.Millisecond
	slowStepDelay = 1250 * time.Millisecond
	// minSkipShare is the smallest share from which the next step may be skipped when time is short. A bad version may not
	// be detected at a smaller share.
	minSkipShare = 0.1
)

// laterShares are the shares that follow the first one.
var laterShares = []float64{0.1, 0.25, 0.5, 1}

// Step is the current share of the new version and the time at which it got that share.
type Step struct {
	Share float64
	Since time.Time
}

// Next returns the share that the new version gets next, which may be the current one, and whether the move is done.
// The time at each share is a fraction of the time that was left when the step began, from minDwell to maxDwell.
// The share grows only if mayAdvance is true, until so little time is left that waiting longer would miss the deadline.
func Next(now time.Time, step Step, deadline time.Time, mayAdvance bool) (share float64, done bool) {
	deadline = deadline.Add(-endMargin)
	remaining := sharesAfter(step.Share)
	dwell := min(max(deadline.Sub(step.Since)/time.Duration(len(remaining)+2), minDwell), maxDwell)
	if now.Before(step.Since.Add(dwell)) {
		return step.Share, false
	}
	needed := len(remaining) + 1
	if step.Share < minSkipShare && len(remaining) > 2 {
		needed-- // one step may be skipped later
	}
	waitUntil := deadline.Add(-time.Duration(needed) * (minDwell + stepDelay))
	if !mayAdvance && now.Before(waitUntil) {
		return step.Share, false
	}
	if len(remaining) == 0 {
		return step.Share, true
	}
	late := deadline.Sub(now) < time.Duration(len(remaining)+1)*(minDwell+slowStepDelay)
	if late && step.Share >= minSkipShare && len(remaining) > 1 {
		return remaining[1], false
	}
	return remaining[0], false
}

func sharesAfter(share float64) []float64 {
	for i, s := range laterShares {
		if s > share {
			return laterShares[i:]
		}
	}
	return nil
}
