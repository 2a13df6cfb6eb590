package admin

import (
	"net/http"

	"jayshift/core/ident"
)

// HostView is what operators see of a host.
type HostView struct {
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

func (a *Admin) hosts(w http.ResponseWriter, _ *http.Request) {
	t := a.seams.Table()
	peers := a.seams.Peers()
	held := map[string]int{}
	for _, p := range t.Partitions {
		held[p.Owner]++
	}
	list := []HostView{}
	for _, s := range t.Seats {
		p := peers[ident.Host(s.Host)]
		if ident.Host(s.Host) == a.seams.Host {
			p.Revision = a.seams.Snapshot().Revision
		}
		list = append(list, HostView{
			Host: s.Host, AvailabilityZone: s.AvailabilityZone, Region: s.Region, Revision: int(p.Revision),
			InFlight: p.InFlight, Headroom: p.Headroom, Draining: p.Draining, Marked: s.Mark > 0, Voter: s.Voter,
			Partitions: held[s.Host],
		})
	}
	reply(w, list)
}
