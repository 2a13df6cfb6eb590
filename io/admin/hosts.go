package admin

import (
	"net/http"

	"jayshift/core/ident"
)

// HostStatus is the status of a host as shown to operators.
type HostStatus struct {
	Host             string  `json:"host"`
	AvailabilityZone string  `json:"availability-zone"`
	Region           string  `json:"region"`
	Revision         int     `json:"revision"`
	InFlight         int     `json:"in-flight"`
	Headroom         float64 `json:"headroom"`
	Draining         bool    `json:"draining"`
	Marked           bool    `json:"marked"`
	Voter            bool    `json:"voter"`
	Partitions       int     `json:"partitions"`
}

// hosts returns the status of all hosts that have a seat.
func (a *API) hosts(w http.ResponseWriter, _ *http.Request) {
	t := a.deps.SeatTable()
	peers := a.deps.Peers()
	partitions := map[string]int{}
	for _, p := range t.Partitions {
		partitions[p.Owner]++
	}
	list := []HostStatus{}
	for _, s := range t.Seats {
		p := peers[ident.Host(s.Host)]
		if ident.Host(s.Host) == a.deps.Host {
			p.Revision = a.deps.Snapshot().Revision
		}
		list = append(list, HostStatus{
			Host: s.Host, AvailabilityZone: s.AvailabilityZone, Region: s.Region, Revision: int(p.Revision),
			InFlight: p.InFlight, Headroom: p.Headroom, Draining: p.Draining, Marked: s.Mark > 0, Voter: s.Voter,
			Partitions: partitions[s.Host],
		})
	}
	writeJSON(w, list)
}
