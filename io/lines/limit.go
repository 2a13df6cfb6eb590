package lines

import (
	"sync"
	"time"
)

// Limit bounds how many lines of a kind are written in a second, and counts the others.
type Limit struct {
	// PerSecond is how many lines of each kind are written in a second.
	PerSecond int

	mu    sync.Mutex
	kinds map[string]*kind
}

type kind struct {
	second  int64
	written int
	omitted int
}

// NewLimit returns a limit for each kind of line.
func NewLimit(perSecond int) *Limit { return &Limit{PerSecond: perSecond, kinds: map[string]*kind{}} }

// Allow tells whether a line of the kind is written, and how many were left out before it since the last one.
func (l *Limit) Allow(now time.Time, name string) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k := l.kinds[name]
	if k == nil {
		k = &kind{}
		l.kinds[name] = k
	}
	if second := now.Unix(); second != k.second {
		k.second, k.written = second, 0
	}
	if k.written >= l.PerSecond {
		k.omitted++
		return false, 0
	}
	k.written++
	omitted, k.omitted = k.omitted, 0
	return true, omitted
}
