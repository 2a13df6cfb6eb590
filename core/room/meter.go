package room

import (
	"math"
	"time"

	"jayshift/core/ident"
)

// meterTime is the time constant of a meter's sums.
const meterTime = 2 * time.Second

// Request is a request of a caller.
type Request struct {
	Service ident.Service
	Run     time.Duration // expected run time
	Region  ident.Region  // where it must run, empty if it may run anywhere
}

// Meter measures the demand of one host's callers. The zero value is ready for use.
type Meter struct {
	at     time.Time
	demand Demands // decaying sums
	bound  ByService
}

// Record counts a request.
func (m *Meter) Record(now time.Time, q Request) {
	m.decay(now)
	work := Slots(q.Run.Seconds() / meterTime.Seconds())
	if q.Region != "" {
		m.bound.Add(q.Region, q.Service, work)
		return
	}
	d := m.demand[q.Service]
	d.Requests += 1 / meterTime.Seconds()
	d.Work += work
	m.demand[q.Service] = d
}

// Read returns the demand and, by region, the work of requests that must run there.
func (m *Meter) Read(now time.Time) (Demands, ByService) {
	m.decay(now)
	demand, bound := make(Demands, len(m.demand)), ByService{}
	for s, d := range m.demand {
		demand[s] = d
	}
	for r, services := range m.bound {
		for s, work := range services {
			bound.Add(r, s, work)
		}
	}
	return demand, bound
}

func (m *Meter) decay(now time.Time) {
	if m.demand == nil {
		m.demand, m.bound, m.at = Demands{}, ByService{}, now
	}
	elapsed := now.Sub(m.at)
	if elapsed <= 0 {
		return
	}
	m.at = now
	factor := math.Exp(-float64(elapsed) / float64(meterTime))
	for s, d := range m.demand {
		m.demand[s] = Demand{Requests: factor * d.Requests, Work: Slots(factor) * d.Work}
	}
	for _, services := range m.bound {
		for s := range services {
			services[s] *= Slots(factor)
		}
	}
}
