package place

import (
	"time"

	"jayshift/core/ident"
)

const (
	objectWindow = 8 * time.Second // interval over which distinct objects are counted
	// objectsPerServer is the number of objects that a backend server is assumed to cache.
	objectsPerServer = 24
	// maxTracked is the number of objects whose statistics are kept. More of them do not fit on any servers.
	maxTracked = 16_384
)

// objectTracker counts the distinct objects of recent requests in consecutive windows of at least objectWindow.
type objectTracker struct {
	windowStart time.Time // start of the current window
	byID        map[ident.Object]*objectStats
	current     int // number of distinct objects in the current window
	previous    int // number of distinct objects in the previous window
}

// objectStats holds the statistics of one object.
type objectStats struct {
	lastSeen      time.Time
	crossZoneCost time.Duration // cost so far of transfers between zones of the local region for its requests
}

func newObjectTracker() objectTracker { return objectTracker{byID: map[ident.Object]*objectStats{}} }

// observe records a request on the object and returns the object's statistics.
func (t *objectTracker) observe(now time.Time, id ident.Object) *objectStats {
	if now.Sub(t.windowStart) >= objectWindow {
		t.startWindow(now)
	}
	stats := t.byID[id]
	if stats == nil {
		stats = &objectStats{}
		if len(t.byID) < maxTracked {
			t.byID[id] = stats
		}
	}
	if stats.lastSeen.Before(t.windowStart) || stats.lastSeen.IsZero() {
		t.current++
	}
	stats.lastSeen = now
	return stats
}

// startWindow starts a new window and drops objects without a request in the last one.
func (t *objectTracker) startWindow(now time.Time) {
	for id, stats := range t.byID {
		if stats.lastSeen.Before(t.windowStart) {
			delete(t.byID, id)
		}
	}
	t.previous, t.current, t.windowStart = t.current, 0, now
}

// fitOn reports whether the given number of servers can cache all recent objects.
func (t *objectTracker) fitOn(servers int) bool {
	return max(t.previous, t.current) <= objectsPerServer*servers
}
