package model

import (
	"fmt"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"

	"github.com/cespare/xxhash/v2"
)

// Production returns the policy that hosts use in production: core/place with its default weights.
func Production() Policy { return WithWeights("chosen", place.DefaultWeights()) }

// WithWeights returns the production policy with other weights.
func WithWeights(name string, weights place.Weights) Policy {
	return Policy{Name: name, NewDecider: func(env Environment) Decider {
		balancer := place.New(place.Settings{
			Location: env.Location, Weights: weights, Random: env.Random.Int64N, WarmsUp: func(ident.BackendServer) bool { return true },
		})
		balancer.Update(env.Entries, func(ident.Service) float64 { return 0 })
		index := map[ident.BackendServer]int{}
		for i, e := range env.Entries {
			index[e.ID] = i
		}
		return func(now time.Time, object int, started time.Time) (int, func(time.Time, place.Outcome)) {
			reservation, refusal := balancer.Pick(now, place.Query{
				Service: service, Route: "route", Object: ident.Object(fmt.Sprint(object)), LatencyTarget: env.Scenario.LatencyTarget, Started: started,
				Bytes: 5000, Deadline: started.Add(env.Scenario.CallerTimeout),
			})
			if refusal != nil {
				return -1, nil
			}
			return index[reservation.Server.ID], reservation.Release
		}
	}}
}

// Random picks any backend server with equal probability.
func Random() Policy {
	return Policy{Name: "random", NewDecider: func(env Environment) Decider {
		return func(time.Time, int, time.Time) (int, func(time.Time, place.Outcome)) {
			return env.Random.IntN(len(env.Entries)), ignoreOutcome
		}
	}}
}

// LeastLoaded picks the backend server with the fewest requests: the host's own in-flight ones plus those of other
// hosts by the server's last load report. Ties are broken by a random starting index.
func LeastLoaded() Policy {
	return Policy{Name: "least-loaded", NewDecider: func(env Environment) Decider {
		inFlight, reported := make([]int, len(env.Entries)), make([]int, len(env.Entries))
		return func(time.Time, int, time.Time) (int, func(time.Time, place.Outcome)) {
			best, offset := 0, env.Random.IntN(len(env.Entries))
			for k := range env.Entries {
				if i := (offset + k) % len(env.Entries); k == 0 || inFlight[i]+reported[i] < inFlight[best]+reported[best] {
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
	return Policy{Name: "rendezvous", NewDecider: func(env Environment) Decider {
		return func(_ time.Time, object int, _ time.Time) (int, func(time.Time, place.Outcome)) {
			best, score := -1, uint64(0)
			for i, e := range env.Entries {
				if e.Region != env.Location.Region {
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
