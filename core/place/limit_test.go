package place_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/place"
	"jayshift/core/roster"
)

// TestLimitedServer checks that a server with a limit gets the requests that the limit allows, that others are used
// meanwhile, and that a request is refused with a time to come back when no other is left.
func TestLimitedServer(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	limits := limit.New("a", now, func() float64 { return 0 })
	limits.SetHosts(now, []limit.Host{{Name: "a", Region: "r"}})
	b := place.New(place.Settings{
		Location: place.Location{Zone: "z", Region: "r"}, Weights: place.DefaultWeights(), Limits: limits,
		WarmsUp: func(ident.BackendServer) bool { return true }, Random: func(int64) int64 { return 0 },
	})
	list := []roster.Entry{
		{Server: roster.Server{ID: "s1", Service: "a", Zone: "z", Region: "r", Slots: 4, StartMillis: 1}},
		{Server: roster.Server{ID: "s2", Service: "a", Zone: "other", Region: "r", Slots: 4, StartMillis: 1}},
	}
	noCold := func(ident.Service) float64 { return 0 }
	b.Update(list, noCold)
	now = now.Add(time.Minute)
	limits.RecordAnswer(now, limit.Server{ID: "s1", Start: 1, Region: "r"}, now, 2)
	query := func() place.Query {
		return place.Query{Service: "a", Route: "read", LatencyTarget: time.Second, Started: now, Deadline: now.Add(2 * time.Second)}
	}
	sent := map[ident.BackendServer]int{}
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(100 * time.Millisecond) {
		reservation, refused := b.Pick(now, query())
		is.Equal(refused, nil)
		sent[reservation.Server.ID]++
		reservation.Release(now, place.Outcome{Result: place.Succeeded})
	}
	is.True(sent["s1"] >= 14 && sent["s1"] <= 20)
	is.Equal(sent["s1"]+sent["s2"], 100)

	b.Update(list[:1], noCold)
	var refusal *place.Refusal
	for range 2 {
		_, refusal = b.Pick(now, query())
	}
	is.True(refusal != nil)
	is.Equal(refusal.Reason, place.Limited)
	is.True(refusal.RetryAfter > 0 && refusal.RetryAfter <= time.Second)
}
