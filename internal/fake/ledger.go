package fake

import (
	"sync"
	"time"
)

// Ledger is the exact central limiter: one token bucket that sees every start. No window carries more than rate times
// its length plus the burst exactly as long as the bucket never falls below zero.
type Ledger struct {
	rate  float64
	burst float64

	mu       sync.Mutex
	tokens   float64
	at       time.Time
	over     float64
	admitted int
	worst    []time.Time
}

// NewLedger returns a ledger with a full bucket.
func NewLedger(rate, burst float64) *Ledger {
	return &Ledger{rate: rate, burst: burst, tokens: burst, at: time.Now()}
}

// Admit counts one start.
func (l *Ledger) Admit(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d := now.Sub(l.at); d > 0 {
		l.tokens = min(l.burst, l.tokens+l.rate*d.Seconds())
		l.at = now
	}
	l.tokens--
	l.admitted++
	if -l.tokens > l.over {
		l.over = -l.tokens
		l.worst = append(l.worst, now)
	}
}

// Over returns by how much the limit was exceeded at most, and how many starts there were.
func (l *Ledger) Over() (over float64, admitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over, l.admitted
}

// Worst returns the times at which the excess grew.
func (l *Ledger) Worst() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]time.Time{}, l.worst...)
}
