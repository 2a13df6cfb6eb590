package room

import (
	"math"
	"time"
)

const (
	peakHold     = 10 * time.Second // for which a peak counts in full
	peakHalfLife = 10 * time.Second // in which it then halves
	// trendTime is the time constant of the mean that the present value is compared with. The difference is the change within
	// that time, which makes up for the lag of the meter (2 s) and of reports (2 s). With 6 s the peak of a wave of 36 s is
	// overestimated by 21%, with 4 s by 14%.
	trendTime = 4 * time.Second
	maxTrend  = 0.3 // of the value, so that a sudden start of requests is not extrapolated without bound
)

// Peak holds the recent maximum of the forecast of a value. The zero value is ready for use.
type Peak struct {
	at        time.Time
	mean      Slots // exponentially weighted mean with time constant trendTime
	peak      Slots
	heldUntil time.Time
	settledAt time.Time // before then the mean is the value, since nothing is known of its trend
}

// Update records the present value, and returns the larger one of its forecast and its recent peak.
func (p *Peak) Update(now time.Time, value Slots) Slots {
	if p.at.IsZero() {
		p.at, p.settledAt = now, now.Add(trendTime)
	}
	elapsed := max(now.Sub(p.at), 0)
	p.at = now
	p.mean += Slots(1-math.Exp(-float64(elapsed)/float64(trendTime))) * (value - p.mean)
	if now.Before(p.settledAt) {
		p.mean = value
	}
	forecast := value + min(max(0, value-p.mean), maxTrend*value)
	if now.After(p.heldUntil) {
		p.peak *= Slots(math.Exp2(-float64(elapsed) / float64(peakHalfLife)))
	}
	if forecast >= p.peak {
		p.peak, p.heldUntil = forecast, now.Add(peakHold)
	}
	return p.peak
}
