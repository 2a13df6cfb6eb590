package usage

import (
	"sync"
	"time"

	"jayshift/core/ident"
)

// Counts is the number of requests of each team that backend servers began to run in a window.
type Counts map[ident.Team]int

// Report is what one process of a host has counted. A later report of the process replaces an earlier one, window by window.
type Report struct {
	Host        ident.Host
	Incarnation int
	Sequence    int    // of the process's reports, from 1
	Through     Window // the last window that has ended
	Windows     map[Window]Counts
}

// Counter counts the requests of one host. It is safe for concurrent use.
type Counter struct {
	schedule Schedule

	mu      sync.Mutex
	running map[*run]struct{}
	ended   map[Window]Counts
}

// run is a request that was sent to a backend server.
type run struct {
	team   ident.Team
	starts time.Time // when the server is expected to begin to run it
}

// NewCounter returns a counter without any request.
func NewCounter(s Schedule) *Counter {
	return &Counter{schedule: s, running: map[*run]struct{}{}, ended: map[Window]Counts{}}
}

// Begin counts a request of the team that is sent now, and that waits at the server for the expected time. The returned
// function must be called when the request has ended: with false if the server has not run it, so that it does not count.
func (c *Counter) Begin(now time.Time, team ident.Team, wait time.Duration) (end func(now time.Time, ran bool)) {
	r := &run{team: team, starts: now.Add(max(0, wait))}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[r] = struct{}{}
	return func(now time.Time, ran bool) { c.end(now, r, ran) }
}

func (c *Counter) end(now time.Time, r *run, ran bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, running := c.running[r]; !running {
		return
	}
	delete(c.running, r)
	w := c.windowOf(r, now)
	if !ran || w < c.schedule.firstOpen(now) {
		return
	}
	add(c.ended, w, r.team, 1)
}

// windowOf returns the window in which a request has begun, at the latest now.
func (c *Counter) windowOf(r *run, now time.Time) Window {
	if r.starts.After(now) {
		return c.schedule.At(now)
	}
	return c.schedule.At(r.starts)
}

// Windows returns the counts of all windows that have begun after the given one and can still be reported, with the requests
// that run. Windows without requests are listed too, since counts of requests that were refused later have to be replaced.
func (c *Counter) Windows(now time.Time, after Window) map[Window]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := c.schedule.firstOpen(now)
	list := map[Window]Counts{}
	for w := max(first, after+1); w <= c.schedule.At(now); w++ {
		list[w] = Counts{}
	}
	for w, counts := range c.ended {
		if w < first {
			delete(c.ended, w)
			continue
		}
		for team, n := range counts {
			if w > after {
				add(list, w, team, n)
			}
		}
	}
	for r := range c.running {
		if w := c.windowOf(r, now); !r.starts.After(now) && w >= first && w > after {
			add(list, w, r.team, 1)
		}
	}
	return list
}

func add(windows map[Window]Counts, w Window, team ident.Team, n int) {
	if windows[w] == nil {
		windows[w] = Counts{}
	}
	windows[w][team] += n
}
