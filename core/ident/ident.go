// Package ident defines types for the names and the version counters that the other packages share.
package ident

// Host is the name of a host, a process that forwards callers' requests to backend servers.
type Host string

// Team is the name of a tenant.
type Team string

// Key is the name of an API key, not its secret value.
type Key string

// AvailabilityZone is the name of an availability zone.
type AvailabilityZone string

// Region is the name of a region.
type Region string

// Service is the name of a service.
type Service string

// Version is the name of a backend version.
type Version string

// BackendServer is the name of a backend server.
type BackendServer string

// Shift is the name of a shift: a set of services with a rate cap and target backend versions.
type Shift string

// Route is the name of a route.
type Route string

// Object is the affinity key of a request. A backend server serves an object faster when it has recently served the
// same one.
type Object string

// Site is the name of a location, in an availability zone, that client address blocks map to.
type Site string

// Generation is the version number of the seat table, which records the fleet's members. It increases with each change.
type Generation int64

// Incarnation identifies one process of a host. It increases with each start.
type Incarnation int64

// Quantity is the key of a limit that is enforced across the fleet, such as "team/north".
type Quantity string
