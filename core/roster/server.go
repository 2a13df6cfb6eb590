// Package roster maintains the list of backend servers that may be used, from the registrations that they write to
// the store.
package roster

import (
	"time"

	"jayshift/core/ident"
)

// Server is one process of a backend server, as described by a registration.
type Server struct {
	ID          ident.BackendServer
	Service     ident.Service
	Address     string
	Zone        ident.AvailabilityZone
	Region      ident.Region
	Version     ident.Version
	Slots       int
	Draining    bool
	Cold        time.Duration // remaining time of its cold start, counted from the registration
	StartMillis int64         // Unix time of the process start in milliseconds, 0 when not given
	Seq         int64         // number of the registration since the process start
}

// EqualExceptSeq reports whether two registrations are equal apart from Seq.
func (s Server) EqualExceptSeq(o Server) bool {
	s.Seq = o.Seq
	return s == o
}
