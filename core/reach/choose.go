package reach

import (
	"slices"

	"jayshift/core/ident"
)

// Host is a host that requests may be forwarded to.
type Host struct {
	Name   ident.Host
	Zone   ident.AvailabilityZone
	Region ident.Region
	CutOff bool // it has told that it reaches no server either
}

// Query describes a request to forward.
type Query struct {
	AllowedRegions []ident.Region // regions of the hosts that the request may be sent to if Restricted, otherwise ignored
	Restricted     bool
	Tried          []ident.Host // not chosen again
}

// Choose returns the host to forward a request to, or false if there is none: a random one of the own zone if there is any,
// else of the own region, else of another one. random returns a number in [0, n).
func Choose(self Host, hosts []Host, q Query, random func(n int) int) (Host, bool) {
	var nearest []Host
	for _, h := range hosts {
		if h.CutOff || slices.Contains(q.Tried, h.Name) || q.Restricted && !slices.Contains(q.AllowedRegions, h.Region) {
			continue
		}
		switch {
		case len(nearest) == 0 || distance(self, h) == distance(self, nearest[0]):
			nearest = append(nearest, h)
		case distance(self, h) < distance(self, nearest[0]):
			nearest = []Host{h}
		}
	}
	if len(nearest) == 0 {
		return Host{}, false
	}
	return nearest[random(len(nearest))], true
}

// distance returns 0 for a host of the same zone, 1 for one of the same region and 2 for others.
func distance(a, b Host) int {
	switch {
	case a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}
