package region

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// drawPeriod is a time within which a host is to draw fewDraws times, or else it begins anew.
	drawPeriod = time.Second
	fewDraws   = 4
	// goldenRatio is the step between two draws of a host, which spreads any number of them evenly over [0, 1).
	goldenRatio = 0.6180339887498949
)

// draws are the draws of one host. They are spread evenly over [0, 1). So are the first ones of all hosts that begin anew in
// the same period, so that few draws of each are enough for the fleet to keep its shares.
type draws struct {
	period int64
	count  int // draws in the period
	last   float64
}

// next returns the next draw of the host at the given position among all hosts, from 0 to 1.
func (d *draws) next(now time.Time, position float64) float64 {
	period := now.UnixNano() / int64(drawPeriod)
	if period > d.period+1 || period != d.period && d.count < fewDraws {
		d.last = offset(period) + position
	}
	if period != d.period {
		d.period, d.count = period, 0
	}
	d.count++
	d.last = math.Mod(d.last+goldenRatio, 1)
	return d.last
}

// offset returns a number in [0, 1) that is the same at all hosts, and differs from period to period.
func offset(period int64) float64 {
	return fraction(xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(period))))
}

// fraction returns the hash as a number in [0, 1).
func fraction(hash uint64) float64 { return float64(hash>>11) / (1 << 53) }
