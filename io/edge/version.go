package edge

import (
	"time"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/roster"
)

// Versions selects the backend versions that requests are sent to, and learns how the requests end.
type Versions struct {
	// Choose returns the version for the next attempt of a request, which may be the one that the service is being moved to.
	// It returns false if no version may get the request.
	Choose func(service ident.Service, repeated bool) (canary.Choice, bool)
	// Proved returns the version of the service that it is not being moved to, or false if there is none.
	Proved func(service ident.Service) (canary.Choice, bool)
	// Return gives back the choice of a request that was not sent to a server.
	Return func(service ident.Service, c canary.Choice)
	// MaySend reports whether a request may be sent to the version that was chosen for it earlier.
	MaySend func(service ident.Service, c canary.Choice) bool
	// Start records that an attempt begins. It ends with End, which records its outcome, or with Drop if the outcome shows
	// nothing of the server. The ratio is the run time divided by the expected one, 0 if unknown.
	Start func(s roster.Server, r ident.Route)
	End   func(s roster.Server, r ident.Route, result canary.Result, ratio float64)
	Drop  func(s roster.Server, r ident.Route)
	// Refuse records a request that no server could take.
	Refuse func(service ident.Service)
}

// pick reserves a server of the version that is chosen for the next attempt. If the version that the service is being moved
// to has no server that can take the request, a server of the proved version does, unless the move is about to end.
func (e *Edge) pick(q *request) (*place.Reservation, *place.Refusal) {
	choice, ok := e.deps.Versions.Choose(q.service, len(q.attempted) > 0)
	if !ok {
		q.choice = canary.Choice{} // that of an earlier try has been returned
		return nil, noVersion()
	}
	reservation, refused := e.reserve(q, choice)
	if refused == nil || !choice.New || choice.Only {
		return reservation, refused
	}
	e.deps.Versions.Return(q.service, choice)
	if choice, ok = e.deps.Versions.Proved(q.service); !ok {
		return nil, refused
	}
	return e.reserve(q, choice)
}

func (e *Edge) reserve(q *request, choice canary.Choice) (*place.Reservation, *place.Refusal) {
	q.choice = choice
	return e.deps.Balancer.Pick(time.Now(), e.rankedQuery(q))
}

// rankedQuery returns the query of the request, with the room that it leaves to others if requests to its service differ in
// priority.
func (e *Edge) rankedQuery(q *request) place.Query {
	query := q.query()
	if s := e.queueOf(q); s != nil {
		query.Ranked, query.Reserve = true, s.reserveRoom(time.Now(), q)
	}
	return query
}

// checkRoom returns nil if a server of the proved version can take the request now, otherwise the refusal. While no version
// is proved it returns nil too: the request may be one of those that go to a version on trial.
func (e *Edge) checkRoom(q *request) *place.Refusal {
	choice, ok := e.deps.Versions.Proved(q.service)
	if !ok {
		return nil
	}
	q.choice = choice
	return e.deps.Balancer.Check(time.Now(), e.rankedQuery(q))
}

// noVersion is the refusal of a request of a service whose only known version must get none.
func noVersion() *place.Refusal {
	return &place.Refusal{Reason: place.NoServer, RetryAfter: place.NoServerRetryAfter}
}
