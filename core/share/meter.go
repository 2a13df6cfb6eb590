package share

import (
	"math"
	"time"
)

const meterWindow = 1 * time.Second // time constant of the demand average

// meter estimates demand as an exponentially weighted rate.
type meter struct {
	level float64 // millionths a second
	at    time.Time
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.level *= math.Exp(-float64(d) / float64(meterWindow))
		m.at = now
	}
}

func (m *meter) add(now time.Time, n int64) {
	m.decay(now)
	m.level += float64(n) / meterWindow.Seconds()
}

func (m *meter) rate(now time.Time) int64 {
	m.decay(now)
	return int64(m.level)
}
