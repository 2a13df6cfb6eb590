package wait

import (
	"time"

	"jayshift/core/ident"
)

// Key identifies copies of one request: all requests with the same team, method, target, body and object.
type Key string

// Request is a request to a service whose room may be scarce.
type Request struct {
	Key      Key
	Team     ident.Team
	Priority int       // 0 for the most urgent, higher for less urgent
	Deadline time.Time // the caller does not wait longer than this
	// Returning is set by Queue.Arrive if the caller sends the request again after a refusal.
	Returning bool
}

// Entry is a request that waits.
type Entry struct {
	Request
	Latest time.Time // from which it could not be answered in time
}
