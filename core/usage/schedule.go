// Package usage decides how the hosts of a fleet report, for each window of the wall clock, the requests of each team that
// backend servers began to run: it counts them at each host, collects the counts at the host that holds the duty, and decides
// who holds that, what a report says and when it is sent.
package usage

import "time"

// Window is the number of a window of the wall clock. Window 0 begins at the start of 1970, UTC.
type Window int64

const (
	// closeDelay is the time from the end of a window until it is reported, in which the last counts arrive. If a host's counts
	// are missing, they are awaited up to maxCloseDelay.
	closeDelay    = 2500 * time.Millisecond
	maxCloseDelay = 6 * time.Second
	// sendTime is the time before a report is due from which it is too late to write one.
	sendTime = 500 * time.Millisecond
)

// Schedule tells when windows begin and end, and when their reports are due.
type Schedule struct{ length, late time.Duration }

// NewSchedule returns the schedule of windows of the given length, whose reports are due within late after their end.
func NewSchedule(length, late time.Duration) Schedule { return Schedule{length: length, late: late} }

// At returns the window at a time.
func (s Schedule) At(t time.Time) Window {
	n := t.UnixNano()
	w := n / int64(s.length)
	if n%int64(s.length) < 0 {
		w--
	}
	return Window(w)
}

// End returns the end of a window.
func (s Schedule) End(w Window) time.Time { return time.Unix(0, (int64(w)+1)*int64(s.length)) }

// Due returns the time at which the report of a window is due.
func (s Schedule) Due(w Window) time.Time { return s.End(w).Add(s.late) }

// firstOpen returns the first window whose report can still be written in time.
func (s Schedule) firstOpen(now time.Time) Window {
	return s.At(now.Add(sendTime - s.late))
}

// closeAt returns the time from which a window may be reported if all counts have arrived.
func (s Schedule) closeAt(w Window) time.Time { return s.End(w).Add(min(closeDelay, s.late/4)) }

// forceAt returns the time from which a window is reported even if counts are missing.
func (s Schedule) forceAt(w Window) time.Time { return s.End(w).Add(min(maxCloseDelay, s.late*3/5)) }
