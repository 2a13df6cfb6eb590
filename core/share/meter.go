package share

import (
	"math"
	"time"
)

const meterTimeConstant = 1 * time.Second // time constant of the demand average

// meter estimates demand as an exponentially weighted moving average.
type meter struct {
	average   float64 // millionths per second
	updatedAt time.Time
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.updatedAt); d > 0 {
		m.average *= math.Exp(-float64(d) / float64(meterTimeConstant))
		m.updatedAt = now
	}
}

func (m *meter) add(now time.Time, n int64) {
	m.decay(now)
	m.average += float64(n) / meterTimeConstant.Seconds()
}

func (m *meter) rate(now time.Time) int64 {
	m.decay(now)
	return int64(m.average)
}
