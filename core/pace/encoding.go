package pace

import (
	"math"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// Resolution of the numbers in a report on the wire.
const (
	weightsPerUnit = 10
	meansPerUnit   = 100
)

// maxWeightOnWire bounds the weights that a report holds before they are limited to maxPeerWeight.
const maxWeightOnWire = 1000

// maxLoadOnWire bounds the load in a report before it is limited to maxLoadPerSlot.
const maxLoadOnWire = 1e6

// Encode returns the reports for a heartbeat.
func Encode(reports []Report) []wire.PaceReport {
	var list []wire.PaceReport
	for _, r := range reports {
		observed := make([]int, 0, 2*(levels+2))
		for _, t := range r.observed.sums() {
			mean := 0.0
			if t.weight > 0 {
				mean = t.sum / t.weight
			}
			observed = append(observed, int(math.Round(t.weight*weightsPerUnit)), int(math.Round(mean*meansPerUnit)))
		}
		list = append(list, wire.PaceReport{BackendServer: string(r.Server.ID), Start: int(r.Server.Start), Observed: observed})
	}
	return list
}

// Decode returns the reports of a heartbeat. It leaves out those with another number of values or with a negative weight, and
// limits the values to those that a host can have observed.
func Decode(list []wire.PaceReport) []Report {
	var reports []Report
	for _, r := range list[:min(len(list), maxReports)] {
		if observed, ok := decode(r.Observed); ok {
			reports = append(reports, Report{Server{ident.BackendServer(r.BackendServer), int64(r.Start)}, observed})
		}
	}
	return reports
}

func decode(values []int) (tallies, bool) {
	var sums [levels + 2]tally
	if len(values) != 2*len(sums) {
		return tallies{}, false
	}
	for i := range sums {
		weight, mean := float64(values[2*i])/weightsPerUnit, float64(values[2*i+1])/meansPerUnit
		if weight < 0 {
			return tallies{}, false
		}
		lowest, highest := -math.Log(maxRatio), math.Log(maxRatio)
		if i == len(sums)-1 {
			lowest, highest = 0, maxLoadOnWire
		}
		weight = min(weight, maxWeightOnWire)
		sums[i] = tally{weight, weight * min(max(mean, lowest), highest)}
	}
	t := tallies{recent: sums[levels], load: sums[levels+1]}
	copy(t.byLevel[:], sums[:levels])
	return t, true
}
