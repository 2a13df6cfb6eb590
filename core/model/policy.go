package model

import (
	"fmt"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"

	"github.com/cespare/xxhash/v2"
)

// Production is the policy that hosts use in production: core/place with its default weights.
func Production() Policy { return WithWeights("chosen", place.DefaultWeights()) }

// WithWeights is the production policy with other weights.
func WithWeights(name string, weights place.Weights) Policy {
	return Policy{Name: name, NewDecider: func(h Environment) Decider {
		board := place.New(place.Settings{
			Location: h.Place, Weights: weights, Random: h.Random.Int64N, WarmsUp: func(ident.BackendServer) bool { return true },
		})
		board.Update(h.Entries, func(ident.Service) float64 { return 0 })
		index := map[ident.BackendServer]int{}
		for i, e := range h.Entries {
			index[e.ID] = i
		}
		return func(now time.Time, object int, started time.Time) (int, func(time.Time, place.Outcome)) {
			ticket, refusal := board.Pick(now, place.Query{
				Service: service, Route: "route", Object: ident.Object(fmt.Sprint(object)), LatencyTarget: h.Scenario.LatencyTarget, Started: started,
				Bytes: 5000, Deadline: started.Add(h.Scenario.CallerTimeout),
			})
			if refusal != nil {
				return -1, nil
			}
			return index[ticket.Server.ID], ticket.Release
		}
	}}
}

// Random picks any backend server with equal probability.
func Random() Policy {
	return Policy{Name: "random", NewDecider: func(h Environment) Decider {
		return func(time.Time, int, time.Time) (int, func(time.Time, place.Outcome)) {
			return h.Random.IntN(len(h.Entries)), ignoreOutcome
		}
	}}
}

// LeastLoaded picks the backend server with the fewest requests: the host's own in-flight ones plus those of other
// hosts by the server's last load report. Ties are broken by a random starting index.
func LeastLoaded() Policy {
	return Policy{Name: "least-loaded", NewDecider: func(h Environment) Decider {
		inFlight, reported := make([]int, len(h.Entries)), make([]int, len(h.Entries))
		return func(time.Time, int, time.Time) (int, func(time.Time, place.Outcome)) {
			best, offset := 0, h.Random.IntN(len(h.Entries))
			for k := range h.Entries {
				if i := (offset + k) % len(h.Entries); k == 0 || inFlight[i]+reported[i] < inFlight[best]+reported[best] {
					best = i
				}
			}
			inFlight[best]++
			return best, func(_ time.Time, o place.Outcome) {
				inFlight[best]--
				if o.Load != nil {
					reported[best] = max(0, o.Load.Running+o.Load.Waiting-inFlight[best])
				}
			}
		}
	}}
}

// Rendezvous picks the backend server of the host's region by rendezvous hashing of the object, regardless of load.
func Rendezvous() Policy {
	return Policy{Name: "rendezvous", NewDecider: func(h Environment) Decider {
		return func(_ time.Time, object int, _ time.Time) (int, func(time.Time, place.Outcome)) {
			best, score := -1, uint64(0)
			for i, e := range h.Entries {
				if e.Region != h.Place.Region {
					continue
				}
				if s := xxhash.Sum64String(fmt.Sprint(object, e.ID)); best < 0 || s > score {
					best, score = i, s
				}
			}
			return best, ignoreOutcome
		}
	}}
}

// Policies returns all policies to compare.
func Policies() []Policy { return []Policy{Production(), Rendezvous(), LeastLoaded(), Random()} }

func ignoreOutcome(time.Time, place.Outcome) {}
