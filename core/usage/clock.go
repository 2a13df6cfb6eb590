package usage

import "time"

// Reached reports whether a time has come by the monotonic clock or by the wall clock. The monotonic clock stops while the
// machine is suspended, and the wall clock may be set back.
func Reached(now, t time.Time) bool {
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}

// reachedByBoth reports whether a time has come by both clocks.
func reachedByBoth(now, t time.Time) bool {
	return !now.Before(t) && !now.Round(0).Before(t.Round(0))
}
