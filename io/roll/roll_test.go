package roll_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/roll"
	"jayshift/io/store"
	"jayshift/io/watch"
)

const (
	service = ident.Service("a")
	within  = 15 * time.Second
	tick    = 250 * time.Millisecond
)

var begun = time.UnixMilli(1_700_000_000_000)

// fleet is several hosts that follow moves on one store in memory, in virtual time.
type fleet struct {
	now      time.Time
	revision int64
	keys     map[string]store.KV
	watches  []*watch.Watch
	rolls    []*roll.Rolls
	leader   int
	old, new int // requests by version
	frames   []wire.Frame
	random   *rand.Rand
}

func decode(i watch.Item) (watch.Change, error) {
	text := string(i.Value)
	switch {
	case i.Key == "order":
		return watch.Change{Order: &watch.MoveOrder{Service: service, To: ident.Version(text), Within: within, Revision: i.Revision}}, nil
	case i.Key == "verdict":
		to, state, _ := strings.Cut(text, " ")
		return watch.Change{Status: &watch.MoveStatus{Service: service, To: ident.Version(to), State: watch.MoveState(state), Revision: i.Revision}}, nil
	}
	return watch.Change{}, nil
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: begun, keys: map[string]store.KV{}, random: rand.New(rand.NewPCG(1, 1))}
	st := &store.Store{Txn: f.txn}
	for i := range hosts {
		w := watch.New(watch.Deps{Decode: decode, Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return f.now }, OnChange: func() {}})
		f.watches = append(f.watches, w)
		f.rolls = append(f.rolls, roll.New(roll.Seams{
			Store: st, Watch: w, Log: slog.New(slog.DiscardHandler), Gate: trial.NewGate(), Evidence: trial.NewEvidence(),
			Encode: func(v watch.MoveStatus) (string, []byte, error) {
				return "verdict", []byte(string(v.To) + " " + string(v.State)), nil
			},
			Leads:     func(ident.Service) bool { return f.leader == i },
			Settled:   func(ident.Service, ident.Version, ident.Revision) bool { return true },
			Broadcast: func(fr wire.Frame) int { f.frames = append(f.frames, fr); return 0 },
		}))
		f.rolls[i].SetServers([]roster.Entry{{Server: server("v1")}, {Server: server("v1")}, {Server: server("v2")}})
	}
	return f
}

func server(version string) roster.Server {
	return roster.Server{ID: ident.BackendServer(version), Service: service, Version: ident.Version(version)}
}

// txn writes under conditions, and shows the result to all hosts.
func (f *fleet) txn(_ context.Context, compares []store.Compare, writes []store.Write, _ []string) (int64, []store.KV, error) {
	for _, c := range compares {
		if f.keys[c.Key].ModRevision != c.Revision {
			return 0, nil, store.ErrConflict
		}
	}
	for _, w := range writes {
		f.put(w.Key, string(w.Value))
	}
	return f.revision, nil, nil
}

func (f *fleet) put(key, value string) {
	f.revision++
	f.keys[key] = store.KV{Key: []byte(key), Value: []byte(value), ModRevision: f.revision}
	for _, w := range f.watches {
		w.ApplyCopy(wire.Copy{Revision: int(f.revision), Items: []wire.Item{{Key: key, Value: value, Revision: int(f.revision)}}})
	}
}

// run lets requests come for a while; bad tells how a request on the new version ends.
func (f *fleet) run(d time.Duration, perTick int, bad func(at time.Duration) (failed bool, ratio float64)) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for range perTick {
			r := f.rolls[f.random.IntN(len(f.rolls))]
			version := r.Version(service)
			failed, ratio := false, 1+0.1*f.random.Float64()
			if version == "v2" {
				f.new++
				failed, ratio = bad(f.now.Sub(begun))
			} else {
				f.old++
			}
			r.Judge(f.now, server(string(version)), "route", failed, ratio)
		}
		for _, r := range f.rolls {
			r.Tick(context.Background(), f.now)
		}
		for _, fr := range f.frames {
			for _, r := range f.rolls {
				if fr.Trip != nil {
					r.Trip(*fr.Trip)
				}
			}
		}
		f.frames = nil
	}
}

func (f *fleet) verdict() string { return string(f.keys["verdict"].Value) }

func good(time.Duration) (bool, float64) { return false, 1.1 }

func TestGoodVersionIsDone(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	is.Equal(f.rolls[0].Version(service), ident.Version("v1"))
	f.put("order", "v2")
	f.run(within, 40, good)
	is.Equal(f.verdict(), "v2 done")
	for _, r := range f.rolls {
		is.Equal(r.Version(service), ident.Version("v2"))
	}
}

// TestLeaderDies lets the leading host die in the middle of a move.
func TestLeaderDies(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.put("order", "v2")
	f.run(within/2, 40, good)
	f.leader = 2
	f.run(within/2, 40, good)
	is.Equal(f.verdict(), "v2 done")
}

// TestTwoLeaders lets all hosts lead at once: steps are stated one after the other all the same.
func TestTwoLeaders(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.put("order", "v2")
	for range 60 {
		f.leader = f.random.IntN(3)
		f.run(tick, 40, good)
	}
	is.Equal(f.verdict(), "v2 done")
}

// TestBadVersions takes bad versions back with little of the traffic, whenever and however they turn bad.
func TestBadVersions(t *testing.T) {
	for name, bad := range map[string]func(time.Duration) (bool, float64){
		"at once": func(time.Duration) (bool, float64) { return true, 0 },
		"in part": func(at time.Duration) (bool, float64) { return at.Milliseconds()/250%2 == 0, 1 },
		"slow":    func(time.Duration) (bool, float64) { return false, 6 },
		"late":    func(at time.Duration) (bool, float64) { return at > 4*time.Second, 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			f.put("order", "v2")
			f.run(within, 40, bad)
			is.Equal(f.verdict(), "v2 reverted")
			is.True(float64(f.new) <= 0.1*float64(f.old+f.new)) // share of all requests
			for _, r := range f.rolls {
				is.Equal(r.Version(service), ident.Version("v1"))
			}
			before := f.new
			f.run(within, 40, bad)
			is.Equal(f.new, before) // nothing more goes there
		})
	}
}

// TestSecondOrder moves on after a version was taken back.
func TestSecondOrder(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.put("order", "v2")
	f.run(within, 40, func(time.Duration) (bool, float64) { return true, 0 })
	is.Equal(f.verdict(), "v2 reverted")
	f.put("order", "v2")
	f.run(within, 40, good)
	is.Equal(f.verdict(), "v2 done")
}
