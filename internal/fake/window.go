package fake

import "time"

// MaxInWindow returns the maximum number of times within any window of the given length. The times must be sorted.
func MaxInWindow(window time.Duration, times []time.Time) int {
	maxCount, first := 0, 0
	for i, t := range times {
		for t.Sub(times[first]) > window {
			first++
		}
		maxCount = max(maxCount, i-first+1)
	}
	return maxCount
}
