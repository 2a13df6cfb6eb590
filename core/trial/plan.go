package trial

import "time"

const (
	// DefaultShare is the share of requests that a version gets until it is judged.
	DefaultShare = 0.02
	leastDwell   = 1500 * time.Millisecond // shortest stay at one share
	mostDwell    = 60 * time.Second
	// endMargin is kept before the time limit, for the last step to be stated and followed.
	endMargin = 2 * time.Second
	// stepDelay is how long a step takes to be stated and to be seen, slowStep how long on a busy fleet.
	stepDelay = 500 * time.Millisecond
	slowStep  = 1250 * time.Millisecond
	// skipFrom is the share from which a step is left out when time is short: with less, a bad version may not have
	// shown itself.
	skipFrom = 0.1
)

// steps are the shares after the first one.
var steps = []float64{0.1, 0.25, 0.5, 1}

// Step is where a move stands.
type Step struct {
	Share float64
	Since time.Time
}

// Next returns the share that follows the present one, and whether the move has ended well.
// The stay at each share is a fair part of the time that is left; while there is time, a share grows
// only after the version was judged on it.
func Next(now time.Time, at Step, by time.Time, judged bool) (share float64, done bool) {
	by = by.Add(-endMargin)
	left := stepsAfter(at.Share)
	dwell := min(max(by.Sub(at.Since)/time.Duration(len(left)+2), leastDwell), mostDwell)
	if now.Before(at.Since.Add(dwell)) {
		return at.Share, false
	}
	needed := len(left) + 1
	if at.Share < skipFrom && len(left) > 2 {
		needed-- // one step may be left out later
	}
	latest := by.Add(-time.Duration(needed) * (leastDwell + stepDelay))
	if !judged && now.Before(latest) {
		return at.Share, false
	}
	if len(left) == 0 {
		return at.Share, true
	}
	short := by.Sub(now) < time.Duration(len(left)+1)*(leastDwell+slowStep)
	if short && at.Share >= skipFrom && len(left) > 1 {
		return left[1], false
	}
	return left[0], false
}

func stepsAfter(share float64) []float64 {
	for i, s := range steps {
		if s > share {
			return steps[i:]
		}
	}
	return nil
}
