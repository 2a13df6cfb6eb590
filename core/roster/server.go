// Package roster keeps the backend servers that may be used, as they last stated themselves.
package roster

import (
	"time"

	"jayshift/core/ident"
)

// Server is one process of a backend server, as it stated itself.
type Server struct {
	ID       ident.BackendServer
	Service  ident.Service
	Address  string
	Zone     ident.AvailabilityZone
	Region   ident.Region
	Version  ident.Version
	Slots    int
	Draining bool
	Cold     time.Duration // how much longer it is cold, counted from its statement
	Born     int64         // Unix time in milliseconds of its start, 0 when not stated
	Beat     int64         // number of the statement since the start
}

// Same tells whether two statements differ in nothing but their number.
func (s Server) Same(o Server) bool {
	s.Beat = o.Beat
	return s == o
}
