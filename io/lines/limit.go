package lines

import (
	"sync"
	"time"
)

// Limiter limits the number of log lines of each kind per second and counts the lines that it omits. It is safe for
// concurrent use.
type Limiter struct {
	// PerSecond is the maximum number of lines of each kind per second.
	PerSecond int

	mu          sync.Mutex
	countByKind map[string]*lineCount
}

type lineCount struct {
	second  int64 // Unix time of the second in which written lines are counted
	written int
	omitted int
}

// NewLimiter returns a Limiter with the maximum number of lines of each kind per second.
func NewLimiter(perSecond int) *Limiter {
	return &Limiter{PerSecond: perSecond, countByKind: map[string]*lineCount{}}
}

// Allow reports whether a line of the kind may be written now. If so, omitted is how many lines of the kind were
// omitted since the last one that was allowed.
func (l *Limiter) Allow(now time.Time, kind string) (ok bool, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.countByKind[kind]
	if c == nil {
		c = &lineCount{}
		l.countByKind[kind] = c
	}
	if second := now.Unix(); second != c.second {
		c.second, c.written = second, 0
	}
	if c.written >= l.PerSecond {
		c.omitted++
		return false, 0
	}
	c.written++
	omitted, c.omitted = c.omitted, 0
	return true, omitted
}
