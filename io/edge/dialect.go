package edge

import (
	"net/http"

	"jayshift/core/place"
)

// Dialect names the headers that callers and backend servers exchange with jayshift on a platform.
type Dialect struct {
	RequestID string // of one attempt of a caller, repeated in the answer
	Deadline  string // milliseconds that the sender still waits
	Object    string // what the request is about
	Team      string // name of the team, set by jayshift only
	Expect    string // id of the backend server that is to run the request
	Signature string // mark of an answer that a backend server made
	NotRun    string // in an answer: the request was not run
	Load      string // in an answer: the load of the backend server
	// ParseLoad reads the load of a backend server.
	ParseLoad func(string) (place.Load, bool)
	// Key returns the key that a caller presents, empty for none.
	Key func(http.Header) string
	// Private lists the headers that are never passed on to backend servers, besides those that hold for one connection.
	Private []string
}
