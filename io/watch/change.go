// Package watch keeps what the platform's store says: the configuration, backend servers, orders to move services to
// versions, evacuations, and what jayshift's own hosts stored. One watch of the store, or copies from peers, feed it.
package watch

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
)

// Change is what one key of the store says, decoded. At most one field is set; none when the key is of no interest.
type Change struct {
	Table      *table.Config
	Server     *roster.Server
	Removed    ident.BackendServer    // its statement was removed
	Order      *Order                 // to move a service to a version
	Withdrawn  ident.Service          // its order was withdrawn
	Verdict    *Verdict               // how a move ended
	Evacuated  ident.AvailabilityZone // nothing may be sent there
	Repopulate ident.AvailabilityZone // its evacuation is over
}

// Order asks for a service to be moved to a backend version.
type Order struct {
	Service  ident.Service
	To       ident.Version
	Within   time.Duration
	Revision ident.Revision // of the order in the store
}

// State is how far a move has come, as operators read it.
type State string

// States of a move.
const (
	Running  State = "running"
	Done     State = "done"
	Reverted State = "reverted"
)

// Verdict is the state of a move that operators read.
type Verdict struct {
	Service  ident.Service
	To       ident.Version
	State    State
	Revision ident.Revision // of the verdict in the store
}

// Item is one key of the store as it was written.
type Item struct {
	Key      string
	Value    []byte
	Revision ident.Revision
	Deleted  bool
}
