package place_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/roster"
)

const (
	most   = 0.15 // of a region's requests that may change their region from one window to the next
	window = 2 * time.Second
)

// run is one request that ran.
type run struct {
	at  time.Duration
	far bool
}

// TestShareOfOtherRegionsIsSmooth plays the start of a region with too few servers, where requests take long at first, many
// are refused, and then the load falls, at three hosts that do not talk.
func TestShareOfOtherRegionsIsSmooth(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		begun := time.UnixMilli(1_000_000)
		var runs []run
		var boards []*place.Board
		for range 3 {
			b := place.New(place.Settings{
				Place: place.Place{Zone: "near", Region: "near"}, Weights: place.DefaultWeights(), Random: random.Int64N,
				Warms: func(ident.BackendServer) bool { return true },
			})
			var list []roster.Entry
			for i := range 10 {
				region := "far"
				if i < 2 {
					region = "near"
				}
				list = append(list, roster.Entry{Server: roster.Server{
					ID: ident.BackendServer(rune('a' + i)), Service: "s", Zone: ident.AvailabilityZone(region), Region: ident.Region(region), Slots: 4,
				}})
			}
			b.Update(list, func(ident.Service) float64 { return 0 })
			boards = append(boards, b)
		}
		type ending struct {
			at     time.Duration
			ticket *place.Ticket
		}
		var endings []ending
		for now := time.Duration(0); now < 16*time.Second; now += 5 * time.Millisecond {
			kept := endings[:0]
			for _, e := range endings {
				if e.at <= now {
					e.ticket.End(begun.Add(now), place.Outcome{Result: place.Answered})
					continue
				}
				kept = append(kept, e)
			}
			endings = kept
			rate := 60.0
			if now > 9*time.Second {
				rate = 15
			}
			if random.Float64() > rate*0.005 {
				continue
			}
			at := begun.Add(now)
			ticket, _ := boards[random.IntN(3)].Pick(at, place.Query{
				Service: "s", Route: "r", Aim: 600 * time.Millisecond, Started: at, Deadline: at.Add(4 * time.Second),
			})
			if ticket == nil {
				continue
			}
			work := 260 * time.Millisecond
			if now < 2*time.Second {
				work = 880 * time.Millisecond
			}
			far := ticket.Server.Region == "far"
			endings = append(endings, ending{now + work, ticket})
			runs = append(runs, run{now, far})
		}
		for at := window; at <= 14*time.Second; at += 100 * time.Millisecond {
			before, after := share(runs, at-window, at), share(runs, at, at+window)
			if change := max(before-after, after-before); change > most {
				t.Errorf("seed %d: at %s the share of the other region went from %.2f to %.2f", seed, at, before, after)
				break
			}
		}
	}
}

func share(runs []run, from, to time.Duration) float64 {
	all, far := 0.0, 0.0
	for _, r := range runs {
		if r.at < from || r.at >= to {
			continue
		}
		all++
		if r.far {
			far++
		}
	}
	return far / max(all, 1)
}
