package fake

import (
	"sync"
	"time"
)

// RateChecker measures by how much requests exceeded a rate limit. It is a token bucket that counts every start of a
// request and refuses none. The limit, at most rate times length plus burst starts in any window, holds if and only if
// the number of tokens never falls below 0.
type RateChecker struct {
	rate  float64 // tokens per second
	burst float64

	mu          sync.Mutex
	tokens      float64
	updatedAt   time.Time
	maxExcess   float64
	count       int
	excessTimes []time.Time
}

// NewRateChecker returns a RateChecker with a full bucket. The rate is in starts per second.
func NewRateChecker(rate, burst float64) *RateChecker {
	return &RateChecker{rate: rate, burst: burst, tokens: burst, updatedAt: time.Now()}
}

// Record counts the start of a request.
func (c *RateChecker) Record(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := now.Sub(c.updatedAt); d > 0 {
		c.tokens = min(c.burst, c.tokens+c.rate*d.Seconds())
		c.updatedAt = now
	}
	c.tokens--
	c.count++
	if -c.tokens > c.maxExcess {
		c.maxExcess = -c.tokens
		c.excessTimes = append(c.excessTimes, now)
	}
}

// Excess returns the maximum number of starts beyond the limit in any window, and the total number of starts.
func (c *RateChecker) Excess() (maxExcess float64, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.maxExcess, c.count
}

// ExcessTimes returns the times at which the maximum excess increased.
func (c *RateChecker) ExcessTimes() []time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]time.Time{}, c.excessTimes...)
}
