package room

import "jayshift/core/ident"

// Slots is a number of slots of backend servers, or the mean number of slots that requests occupy.
type Slots float64

// Demand is the demand of callers for one service.
type Demand struct {
	Requests float64 // per second
	Work     Slots   // requests per second times expected run time
}

// Demands holds demand by service.
type Demands map[ident.Service]Demand

// ByService holds slots by region and service.
type ByService map[ident.Region]map[ident.Service]Slots

// Add adds slots of a service in a region.
func (b ByService) Add(r ident.Region, s ident.Service, n Slots) {
	if b[r] == nil {
		b[r] = map[ident.Service]Slots{}
	}
	b[r][s] += n
}
