package place

import (
	"math"
	"time"

	"jayshift/core/ident"
)

const (
	meanLoadTime = 500 * time.Millisecond // time constant of the mean load of a region's servers
	maxMeanStep  = 0.2                    // weight of a single report in the mean at most
	// maxReportedLoad bounds what one report counts, since it may be malformed: requests for each slot.
	maxReportedLoad = 4.0
	meanLoadTTL     = 1 * time.Second // age from which the mean decays, since a host that refuses all requests gets no reports
)

// meanLoad is the moving average of the requests for each slot, running and waiting, that the servers of a service in one region
// have reported. In a large fleet a host seldom hears of one server, but often enough of one of them.
type meanLoad struct {
	perSlot float64
	at      time.Time
}

func (m *meanLoad) record(now time.Time, l Load) {
	if l.Slots <= 0 {
		return
	}
	reported := min(float64(l.Running+l.Waiting)/float64(l.Slots), maxReportedLoad)
	if m.at.IsZero() {
		m.perSlot, m.at = reported, now
		return
	}
	weight := min(1-math.Exp(-float64(now.Sub(m.at))/float64(meanLoadTime)), maxMeanStep)
	m.perSlot += weight * (reported - m.perSlot)
	m.at = now
}

// now returns the mean load at the given time, zero while nothing is known.
func (m *meanLoad) now(now time.Time) float64 {
	if m == nil {
		return 0
	}
	stale := max(now.Sub(m.at)-meanLoadTTL, 0)
	return m.perSlot * math.Exp(-float64(stale)/float64(meanLoadTime))
}

func (p *pool) recordLoad(now time.Time, region ident.Region, l Load) {
	if p.loads[region] == nil {
		p.loads[region] = &meanLoad{}
	}
	p.loads[region].record(now, l)
}
