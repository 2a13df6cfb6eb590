// Package relay chooses through which hosts a large fleet exchanges messages.
//
// In a small fleet every host is linked with every other. In a larger one, some hosts of each availability zone are relays.
// Relays are linked with all relays; any other host is linked with the relays of its region and sends what is meant for all
// hosts to one of them, preferably in its own zone. Hosts that know the same hosts choose the same relays without
// communicating. A host that is passed over because views differ for a moment is still served: any host relays for those
// that send to it.
package relay

import (
	"cmp"
	"slices"

	"jayshift/core/elect"
	"jayshift/core/ident"
)

// MaxMesh is the number of hosts up to which every host is a relay, so that all are linked with each other.
const MaxMesh = 24

const (
	hostsPerRelay = 12 // hosts of a zone for each of its relays
	minPerZone    = 2  // relays of a zone with more than one host, so that one can be lost
	// ampleMbit is the bandwidth, in megabits per second, from which on a host's link does not matter for what it relays.
	ampleMbit    = 50
	electSubject = "relay"
)

// Host is a host of the fleet.
type Host struct {
	Name     ident.Host
	Zone     ident.AvailabilityZone
	Region   ident.Region
	LinkMbit float64 // bandwidth of its network link in megabits per second, zero if it is not known
}

// Plan says how one host takes part in the exchange.
type Plan struct {
	// IsRelay says that the host is a relay. It sends its own messages to all hosts in Links.
	IsRelay bool
	// Links are the hosts to be linked with, sorted by name.
	Links []ident.Host
	// Uplinks are the relays that a host that is no relay may send its messages to, the preferred ones first.
	Uplinks []ident.Host
}

// New returns the plan of the host self in a fleet of the given hosts, which may or may not include self.
func New(self Host, hosts []Host) Plan {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h Host) bool { return h.Name == self.Name })
	relays := others
	isRelay := len(others) < MaxMesh
	if !isRelay {
		relays = choose(append(slices.Clone(others), self))
		isRelay = slices.Contains(relays, self)
	}
	if isRelay {
		relays = slices.DeleteFunc(relays, func(h Host) bool { return h.Name == self.Name })
		return Plan{IsRelay: true, Links: names(relays)}
	}
	uplinks := slices.DeleteFunc(relays, func(h Host) bool { return h.Region != self.Region })
	return Plan{Links: names(uplinks), Uplinks: order(self, uplinks)}
}

// choose returns the relays of all zones: of each zone, the hosts with the most bandwidth, and among those with ample
// bandwidth the ones with the highest rendezvous hash.
func choose(hosts []Host) []Host {
	zones := map[ident.AvailabilityZone][]Host{}
	for _, h := range hosts {
		zones[h.Zone] = append(zones[h.Zone], h)
	}
	var relays []Host
	for _, zone := range zones {
		slices.SortFunc(zone, func(a, b Host) int {
			return cmp.Or(compareLinks(a, b), cmp.Compare(elect.Score(electSubject, b.Name), elect.Score(electSubject, a.Name)), cmp.Compare(a.Name, b.Name))
		})
		count := max(minPerZone, (len(zone)+hostsPerRelay-1)/hostsPerRelay)
		relays = append(relays, zone[:min(len(zone), count)]...)
	}
	return relays
}

// compareLinks orders hosts by bandwidth, the highest first. Ample bandwidths are equal.
func compareLinks(a, b Host) int {
	return cmp.Compare(min(b.LinkMbit, ampleMbit), min(a.LinkMbit, ampleMbit))
}

// order returns the relays in the order in which the host prefers them: those of its own zone first, and among those in an
// order of its own, so that the hosts of a zone spread over its relays.
func order(self Host, relays []Host) []ident.Host {
	slices.SortFunc(relays, func(a, b Host) int {
		if (a.Zone == self.Zone) != (b.Zone == self.Zone) {
			if a.Zone == self.Zone {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(elect.Score(string(self.Name), b.Name), elect.Score(string(self.Name), a.Name)), cmp.Compare(a.Name, b.Name))
	})
	list := make([]ident.Host, len(relays))
	for i, r := range relays {
		list[i] = r.Name
	}
	return list
}

func names(hosts []Host) []ident.Host {
	list := make([]ident.Host, len(hosts))
	for i, h := range hosts {
		list[i] = h.Name
	}
	slices.Sort(list)
	return list
}
