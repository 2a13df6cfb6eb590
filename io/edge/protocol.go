package edge

import (
	"net/http"

	"jayshift/core/place"
)

// Protocol defines the headers that jayshift exchanges with callers and backend servers on a platform. Its string fields
// are header names.
type Protocol struct {
	RequestID      string // id of one attempt of the caller, repeated in the response
	Deadline       string // milliseconds that the sender will still wait
	Object         string // object that the request is about, for affinity
	Team           string // name of the team; a value set by the caller is removed
	ExpectedServer string // id of the backend server that the request is meant for
	Signature      string // marks a response that a backend server produced
	NotRun         string // set in a response if the server did not run the request
	Load           string // load of the backend server, in a response
	Limit          string // requests per second that the backend server takes from all hosts together, in a response
	Leaving        string // "1" in a response if the backend server leaves
	// ParseLoad parses the value of the Load header. It returns false if the value is missing or invalid.
	ParseLoad func(string) (place.Load, bool)
	// Key returns the caller's API key from the request headers, empty if there is none.
	Key func(http.Header) string
	// StrippedHeaders lists the headers that are not forwarded to backend servers, in addition to hop-by-hop headers.
	StrippedHeaders []string
}
