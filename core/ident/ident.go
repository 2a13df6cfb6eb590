// Package ident names the ids and counters that the other packages exchange.
package ident

// Host is the name of an entry host.
type Host string

// Team is the name of a tenant.
type Team string

// Key is the name of a caller key; never the key itself.
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

// Shift is the name of a duty shift.
type Shift string

// Route is the name of a route.
type Route string

// Object identifies what a request is about; requests on the same object run faster on the same backend server.
type Object string

// Site is the name of a place that client blocks are steered to.
type Site string

// Revision is a store revision of the configuration.
type Revision int64

// Generation numbers the changes of the seat table.
type Generation int64

// Incarnation numbers the starts of a host's process.
type Incarnation int64

// Quantity names something that is limited across the fleet, such as "team/north".
type Quantity string
