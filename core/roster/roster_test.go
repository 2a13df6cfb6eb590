package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/roster"
)

const wait = 2 * time.Second

var start = time.UnixMilli(1_000_000)

func server(id string, born, beat int64) roster.Server {
	return roster.Server{
		ID: ident.BackendServer(id), Service: "books", Address: "10.0.0.1:80", Slots: 4, Born: born, Beat: beat,
	}
}

// TestStatements plays sequences of statements and removals and checks which servers remain.
func TestStatements(t *testing.T) {
	leaving := server("a", 1, 2)
	leaving.Draining = true
	for name, c := range map[string]struct {
		play func(r *roster.Roster)
		ids  []string
	}{
		"stated": {func(r *roster.Roster) { r.State(start, server("a", 1, 1)) }, []string{"a"}},
		"removed": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.Remove(start, "a")
		}, nil},
		"lapsed while the store was away": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.StoreBack(start)
			r.Remove(start, "a")
		}, []string{"a"}},
		"lapsed and still missing": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.StoreBack(start)
			r.Remove(start, "a")
			r.Expire(start.Add(wait))
		}, nil},
		"lapsed and back": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.StoreBack(start)
			r.Remove(start, "a")
			r.State(start.Add(time.Second), server("a", 1, 2))
			r.Expire(start.Add(wait))
		}, []string{"a"}},
		"lapsed in calm and back": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.Remove(start, "a")
			r.State(start, server("a", 1, 5))
		}, []string{"a"}},
		"address taken over by a later process": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.State(start, server("b", 2, 1))
		}, []string{"b"}},
		"late statement of a replaced process": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.State(start, server("b", 2, 1))
			r.State(start, server("a", 1, 2))
		}, []string{"b"}},
		"id started again": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 9))
			r.Gone("a", 1)
			r.State(start, server("a", 2, 1))
		}, []string{"a"}},
		"statement of a left process": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			r.State(start, leaving)
			r.Remove(start, "a")
			r.State(start, server("a", 1, 1))
		}, nil},
		"full list without it": {func(r *roster.Roster) {
			r.State(start, server("a", 1, 1))
			other := server("b", 1, 1)
			other.Address = "10.0.0.2:80"
			r.Replace(start, []roster.Server{other})
		}, []string{"b"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := roster.New(wait)
			c.play(r)
			var ids []string
			for _, e := range r.List() {
				ids = append(ids, string(e.ID))
			}
			is.Equal(ids, c.ids)
		})
	}
}

func TestLeavingIsFinal(t *testing.T) {
	is := is.New(t)
	r := roster.New(wait)
	leaving := server("a", 1, 2)
	leaving.Draining = true
	r.State(start, leaving)
	r.State(start, server("a", 1, 1)) // an earlier statement that arrives late
	r.State(start, server("a", 1, 3))
	is.True(r.List()[0].Draining)
}

func TestBeatAloneIsNoChange(t *testing.T) {
	is := is.New(t)
	r := roster.New(wait)
	is.True(r.State(start, server("a", 1, 1)))
	is.True(!r.State(start, server("a", 1, 2)))
}
