package limit

import (
	"jayshift/core/ident"
	"jayshift/core/wire"
)

// Encode returns the reports for a heartbeat.
func Encode(reports []Report) []wire.LimitReport {
	var list []wire.LimitReport
	for _, r := range reports {
		list = append(list, wire.LimitReport{BackendServer: string(r.Server), Start: int(r.Start), Rate: float64(r.Rate), Number: r.Number})
	}
	return list
}

// Decode returns the reports of a heartbeat, without those whose rate is not a number or is negative.
func Decode(list []wire.LimitReport) []Report {
	var reports []Report
	for _, r := range list {
		if r.Rate >= 0 {
			reports = append(reports, Report{Server: ident.BackendServer(r.BackendServer), Start: int64(r.Start), Rate: Rate(r.Rate), Number: r.Number})
		}
	}
	return reports
}
