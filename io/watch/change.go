// Package watch maintains a copy of the platform's store: the configuration, backend servers, orders to move services to
// versions, evacuations, and the keys that jayshift's hosts write. A host updates its copy by watching the store or by
// fetching changes from a peer that watches it.
package watch

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
)

// Change is the decoded content of one key of the store. At most one field is set; none is set if the key is irrelevant.
type Change struct {
	Config          *table.Config
	Server          *roster.Server
	RemovedServer   ident.BackendServer    // server whose registration was removed
	Order           *MoveOrder             // order to move a service to a version
	WithdrawnOrder  ident.Service          // service whose move order was withdrawn
	Status          *MoveStatus            // status of a move
	EvacuatedZone   ident.AvailabilityZone // zone that no request may be sent to
	EvacuationEnded ident.AvailabilityZone // zone whose evacuation ended
}

// MoveOrder is an operator's order to move a service to a backend version.
type MoveOrder struct {
	Service  ident.Service
	To       ident.Version
	Within   time.Duration  // time that the move may take
	Revision ident.Revision // store revision of the order
}

// MoveState is the state of a move as shown to operators.
type MoveState string

// States of a move.
const (
	MoveRunning  MoveState = "running"
	MoveDone     MoveState = "done"
	MoveReverted MoveState = "reverted"
)

// MoveStatus is the status of a service's move as stored for operators.
type MoveStatus struct {
	Service  ident.Service
	To       ident.Version
	State    MoveState
	Revision ident.Revision // store revision of the status
}

// Item is one key of the store with its encoded value, or its deletion.
type Item struct {
	Key      string
	Value    []byte // of a deletion the last value, if that is known
	Revision ident.Revision
	Deleted  bool
}
