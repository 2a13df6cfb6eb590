package region

import (
	"math"

	"jayshift/core/ident"
	"jayshift/core/room"
	"jayshift/core/wire"
)

// Resolution of the numbers in a report on the wire.
const (
	sharesPerUnit   = 1000
	requestsPerUnit = 10
	slotsPerUnit    = 100
)

// Encode returns the report for a heartbeat.
func Encode(r Report) *wire.RegionReport {
	report := &wire.RegionReport{Region: string(r.From), Requests: round(r.Requests, requestsPerUnit)}
	for _, p := range r.Parts {
		report.Parts = append(report.Parts, wire.RegionPart{
			Region: string(p.Region), Share: round(p.Share, sharesPerUnit), Wanted: round(p.Wanted, requestsPerUnit),
			Displaced: round(p.Displaced, requestsPerUnit), Runs: round(p.Runs, requestsPerUnit), Bound: encodeBound(p.Bound),
		})
	}
	for service, d := range r.Demand {
		numbers := []int{round(d.Requests, requestsPerUnit), round(float64(d.Work), slotsPerUnit)}
		if numbers[0] == 0 && numbers[1] == 0 {
			continue
		}
		if report.Demand == nil {
			report.Demand = wire.RegionReportDemand{}
		}
		report.Demand[string(service)] = numbers
	}
	return report
}

// encodeBound leaves out services without such requests.
func encodeBound(bound map[ident.Service]room.Slots) wire.RegionPartBound {
	var encoded wire.RegionPartBound
	for service, work := range bound {
		n := round(float64(work), slotsPerUnit)
		if n == 0 {
			continue
		}
		if encoded == nil {
			encoded = wire.RegionPartBound{}
		}
		encoded[string(service)] = n
	}
	return encoded
}

// Decode returns the report in a heartbeat. Numbers that no host can have meant are set to the nearest ones.
func Decode(r wire.RegionReport) Report {
	report := Report{From: ident.Region(r.Region), Requests: requests(r.Requests)}
	for _, p := range r.Parts {
		report.Parts = append(report.Parts, Part{
			Region: ident.Region(p.Region), Share: min(max(float64(p.Share)/sharesPerUnit, 0), 1), Wanted: requests(p.Wanted),
			Displaced: min(max(float64(p.Displaced)/requestsPerUnit, -maxReported), maxReported), Runs: requests(p.Runs),
			Bound: decodeBound(p.Bound),
		})
	}
	for service, numbers := range r.Demand {
		if len(numbers) < 2 {
			continue
		}
		if report.Demand == nil {
			report.Demand = room.Demands{}
		}
		report.Demand[ident.Service(service)] = room.Demand{Requests: requests(numbers[0]), Work: slots(numbers[1])}
	}
	return report
}

func decodeBound(bound wire.RegionPartBound) map[ident.Service]room.Slots {
	if len(bound) == 0 {
		return nil
	}
	decoded := make(map[ident.Service]room.Slots, len(bound))
	for service, n := range bound {
		decoded[ident.Service(service)] = slots(n)
	}
	return decoded
}

// maxReported bounds the requests of a report, per second, and the slots that they occupy.
const maxReported = 1e6

func requests(n int) float64 { return min(max(float64(n)/requestsPerUnit, 0), maxReported) }

func slots(n int) room.Slots { return room.Slots(min(max(float64(n)/slotsPerUnit, 0), maxReported)) }

func round(x, perUnit float64) int { return int(math.Round(x * perUnit)) }
