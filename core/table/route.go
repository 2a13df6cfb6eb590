package table

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/paths"
)

// Kind classifies the requests of a route by whether they may be retried.
type Kind int

const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Upload requests have large bodies and run at most once.
	Upload
	// Download requests have large responses and may run more than once.
	Download
)

// Route maps the requests for a host name and a path prefix to one service, or to several by weight.
type Route struct {
	Name          ident.Route
	Host          string // host name without a port
	Prefix        string // begins and ends with a slash
	Kind          Kind
	Timeout       time.Duration     // maximum time from the request to its response
	LatencyTarget time.Duration     // target latency of a request
	Priority      int               // 0 is the highest
	Services      []WeightedService // services that share the requests
	MaxAttempts   int               // backend servers that a request may be sent to, the first attempt included
	Open          bool              // no API key required
	Sticky        bool              // prefer backend servers that recently served the same object, as they serve it faster
	HomeRegions   []ident.Region    // regions that requests may run in, empty for all

	path paths.Path // Prefix as it is compared with paths
}

// WeightedService is a service with its relative weight among the services of a route.
type WeightedService struct {
	Service ident.Service
	Weight  float64
}

// Idempotent reports whether a request may run more than once.
func (r *Route) Idempotent() bool { return r.Kind == Safe || r.Kind == Download }

// AllowedRegions returns the regions that a request of the team on the route may run in: those that are home regions of
// both. A route or team without home regions sets no restriction; restricted is false when neither sets one.
func AllowedRegions(r *Route, t *Team) (regions []ident.Region, restricted bool) {
	if t == nil || len(t.HomeRegions) == 0 {
		return r.HomeRegions, len(r.HomeRegions) > 0
	}
	if len(r.HomeRegions) == 0 {
		return t.HomeRegions, true
	}
	for _, home := range r.HomeRegions {
		if slices.Contains(t.HomeRegions, home) {
			regions = append(regions, home)
		}
	}
	return regions, true
}
