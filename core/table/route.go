package table

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

// Kind tells what may be repeated of a route's requests.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Upload requests have large bodies and run at most once.
	Upload
)

// Route sends the requests of a host name and a path prefix to a service, or to several by weight.
type Route struct {
	Name     ident.Route
	Host     string // host name without a port
	Prefix   string // begins and ends with a slash
	Kind     Kind
	Timeout  time.Duration // longest time that a request may wait for its answer
	Aim      time.Duration // latency target
	Rank     int           // urgency, 0 the highest
	Parts    []Part        // one for each service, with the weights
	Attempts int           // backend servers that one request may be sent to
	Open     bool          // needs no key
	Sticky   bool          // backend servers run an object faster that they have run lately
	Homes    []ident.Region
}

// Part is a service with its weight among the parts of a route.
type Part struct {
	Service ident.Service
	Weight  float64
}

// Idempotent tells whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe }

// Homes returns the regions in which a request of the route and the team may run; limited is false for all regions.
func Homes(r *Route, t *Team) (regions []ident.Region, limited bool) {
	if t == nil || len(t.Homes) == 0 {
		return r.Homes, len(r.Homes) > 0
	}
	if len(r.Homes) == 0 {
		return t.Homes, true
	}
	for _, home := range r.Homes {
		if slices.Contains(t.Homes, home) {
			regions = append(regions, home)
		}
	}
	return regions, true
}
