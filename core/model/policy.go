package model

import (
	"fmt"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"

	"github.com/cespare/xxhash/v2"
)

// Chosen places requests as production does.
func Chosen() Policy { return Weighted("chosen", place.DefaultWeights()) }

// Weighted places requests as production does, with other weights.
func Weighted(name string, weights place.Weights) Policy {
	return Policy{Name: name, New: func(h Hosts) Decide {
		board := place.New(place.Settings{
			Location: h.Place, Weights: weights, Random: h.Random.Int64N, WarmsUp: func(ident.BackendServer) bool { return true },
		})
		board.Update(h.Entries, func(ident.Service) float64 { return 0 })
		index := map[ident.BackendServer]int{}
		for i, e := range h.Entries {
			index[e.ID] = i
		}
		return func(now time.Time, object int, started time.Time) (int, func(time.Time, place.Outcome)) {
			ticket, no := board.Pick(now, place.Query{
				Service: service, Route: "route", Object: ident.Object(fmt.Sprint(object)), LatencyTarget: h.Scenario.Aim, Started: started,
				Bytes: 5000, Deadline: started.Add(h.Scenario.Patience),
			})
			if no != nil {
				return -1, nil
			}
			return index[ticket.Server.ID], ticket.Release
		}
	}}
}

// Random places requests on any server.
func Random() Policy {
	return Policy{Name: "random", New: func(h Hosts) Decide {
		return func(time.Time, int, time.Time) (int, func(time.Time, place.Outcome)) {
			return h.Random.IntN(len(h.Entries)), ignore
		}
	}}
}

// LeastLoaded places requests on the server with the fewest requests by this host's own count and the last report.
func LeastLoaded() Policy {
	return Policy{Name: "least-loaded", New: func(h Hosts) Decide {
		own, stated := make([]int, len(h.Entries)), make([]int, len(h.Entries))
		return func(time.Time, int, time.Time) (int, func(time.Time, place.Outcome)) {
			best, from := 0, h.Random.IntN(len(h.Entries))
			for k := range h.Entries {
				if i := (from + k) % len(h.Entries); k == 0 || own[i]+stated[i] < own[best]+stated[best] {
					best = i
				}
			}
			own[best]++
			return best, func(_ time.Time, o place.Outcome) {
				own[best]--
				if o.Load != nil {
					stated[best] = max(0, o.Load.Running+o.Load.Waiting-own[best])
				}
			}
		}
	}}
}

// Rendezvous places each object on one server of the own region, whatever its load.
func Rendezvous() Policy {
	return Policy{Name: "rendezvous", New: func(h Hosts) Decide {
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
			return best, ignore
		}
	}}
}

// Policies returns all ways to place requests.
func Policies() []Policy { return []Policy{Chosen(), Rendezvous(), LeastLoaded(), Random()} }

func ignore(time.Time, place.Outcome) {}
