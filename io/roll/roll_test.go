package roll_test

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/wire"
	"jayshift/io/roll"
	"jayshift/io/store"
	"jayshift/io/watch"
)

const (
	service    = ident.Service("a")
	within     = 15 * time.Second // time in which a move must end
	tickPeriod = 250 * time.Millisecond
)

var startTime = time.UnixMilli(1_700_000_000_000)

// fleet simulates several hosts with one in-memory store, in virtual time.
type fleet struct {
	now                      time.Time
	revision                 int64
	keys                     map[string]store.KV
	watches                  []*watch.Watch
	rollouts                 []*roll.Rollouts
	leader                   int // index of the host that advances moves
	oldRequests, newRequests int // requests to each version
	frames                   []wire.Frame
	random                   *rand.Rand
}

// decode decodes the keys that operators write and read: the order and the status.
func decode(item watch.Item) (watch.Change, error) {
	text := string(item.Value)
	switch {
	case item.Key == "order":
		return watch.Change{Order: &watch.MoveOrder{Service: service, To: ident.Version(text), Within: within, Revision: item.Revision}}, nil
	case item.Key == "status":
		to, state, _ := strings.Cut(text, " ")
		return watch.Change{Status: &watch.MoveStatus{Service: service, To: ident.Version(to), State: watch.MoveState(state), Revision: item.Revision}}, nil
	}
	return watch.Change{}, nil
}

func newFleet(hosts int) *fleet {
	f := &fleet{now: startTime, keys: map[string]store.KV{}, random: rand.New(rand.NewPCG(1, 1))}
	st := &store.Store{Txn: f.txn}
	for i := range hosts {
		w := watch.New(watch.Deps{Decode: decode, Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return f.now }, OnChange: func() {}})
		f.watches = append(f.watches, w)
		f.rollouts = append(f.rollouts, roll.New(roll.Deps{
			Store: st, Watch: w, Log: slog.New(slog.DiscardHandler), Gate: canary.NewGate(), Evidence: canary.NewEvidence(),
			Encode: func(status watch.MoveStatus) (string, []byte, error) {
				return "status", []byte(string(status.To) + " " + string(status.State)), nil
			},
			IsLeader:  func(ident.Service) bool { return f.leader == i },
			Converged: func(ident.Service, ident.Version, ident.Revision) bool { return true },
			Broadcast: func(fr wire.Frame) int { f.frames = append(f.frames, fr); return 0 },
		}))
		f.rollouts[i].SetServers([]roster.Entry{{Server: server("v1")}, {Server: server("v1")}, {Server: server("v2")}})
	}
	return f
}

func server(version string) roster.Server {
	return roster.Server{ID: ident.BackendServer(version), Service: service, Version: ident.Version(version)}
}

// txn implements the store's transaction. All hosts see the writes at once.
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
		w.ApplyCopy(wire.Copy{Revision: int(f.revision), Items: []wire.Item{{Key: key, Value: value, Revision: int(f.revision)}}}, f.now)
	}
}

// run simulates perTick requests in each tick for the time d. respond returns the outcome of a request to the new
// version, at a time since startTime.
func (f *fleet) run(d time.Duration, perTick int, respond func(at time.Duration) (failed bool, ratio float64)) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tickPeriod) {
		for range perTick {
			r := f.rollouts[f.random.IntN(len(f.rollouts))]
			version := r.Version(service)
			failed, ratio := false, 1+0.1*f.random.Float64()
			if version == "v2" {
				f.newRequests++
				failed, ratio = respond(f.now.Sub(startTime))
			} else {
				f.oldRequests++
			}
			r.RecordOutcome(f.now, server(string(version)), "route", failed, ratio)
		}
		for _, r := range f.rollouts {
			r.Tick(context.Background(), f.now)
		}
		for _, fr := range f.frames {
			for _, r := range f.rollouts {
				if fr.Trip != nil {
					r.AddFault(*fr.Trip)
				}
			}
		}
		f.frames = nil
	}
}

func (f *fleet) status() string { return string(f.keys["status"].Value) }

// healthy returns the outcome of a request to a good version.
func healthy(time.Duration) (bool, float64) { return false, 1.1 }

func TestGoodVersionIsDone(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	is.Equal(f.rollouts[0].Version(service), ident.Version("v1"))
	f.put("order", "v2")
	f.run(within, 40, healthy)
	is.Equal(f.status(), "v2 done")
	for _, r := range f.rollouts {
		is.Equal(r.Version(service), ident.Version("v2"))
	}
}

// TestLeaderDies checks that a move is completed when the leader changes halfway.
func TestLeaderDies(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.put("order", "v2")
	f.run(within/2, 40, healthy)
	f.leader = 2
	f.run(within/2, 40, healthy)
	is.Equal(f.status(), "v2 done")
}

// TestTwoLeaders checks that a move is completed when a random host is the leader at each tick, so that
// different hosts write the stages.
func TestTwoLeaders(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	f.put("order", "v2")
	for range 60 {
		f.leader = f.random.IntN(3)
		f.run(tickPeriod, 40, healthy)
	}
	is.Equal(f.status(), "v2 done")
}

// TestBadVersions checks that a move to a version that fails or is slow is reverted, and that the version gets at most
// a tenth of all requests within the time of the move and none afterwards.
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
			is.Equal(f.status(), "v2 reverted")
			is.True(float64(f.newRequests) <= 0.1*float64(f.oldRequests+f.newRequests))
			for _, r := range f.rollouts {
				is.Equal(r.Version(service), ident.Version("v1"))
			}
			requestsBefore := f.newRequests
			f.run(within, 40, bad)
			is.Equal(f.newRequests, requestsBefore) // no requests after the move was reverted
		})
	}
}

// TestSecondOrder checks that a version can be ordered again after its move was reverted.
func TestSecondOrder(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	f.put("order", "v2")
	f.run(within, 40, func(time.Duration) (bool, float64) { return true, 0 })
	is.Equal(f.status(), "v2 reverted")
	f.put("order", "v2")
	f.run(within, 40, healthy)
	is.Equal(f.status(), "v2 done")
}

// restore makes all hosts read a store that was restored from a copy with the given keys, in a new era.
func (f *fleet) restore(keys map[string]store.KV) {
	era := ident.Revision(f.revision).Era() + 1
	f.keys = map[string]store.KV{}
	c := wire.Copy{Full: true, Revision: int(ident.NewRevision(era, 1))}
	for key, kv := range keys {
		kv.ModRevision = int64(ident.NewRevision(era, ident.Revision(kv.ModRevision).Number()))
		f.keys[key] = kv
		c.Items = append(c.Items, wire.Item{Key: key, Value: string(kv.Value), Revision: int(kv.ModRevision)})
		c.Revision = max(c.Revision, int(kv.ModRevision))
	}
	f.revision = int64(c.Revision)
	for _, w := range f.watches {
		w.ApplyCopy(c, f.now)
	}
}

// TestMoveGoesOnAfterARestore checks that a move goes on where it was, and that its end is stated again, after the store has
// lost the order, the stage and the status and the operator has written the order again.
func TestMoveGoesOnAfterARestore(t *testing.T) {
	for name, c := range map[string]struct {
		respond func(time.Duration) (bool, float64)
		after   time.Duration // of the order, at which the store is restored
		end     string
	}{
		"good, halfway": {healthy, within / 2, "v2 done"},
		"good, done":    {healthy, within, "v2 done"},
		"bad, reverted": {func(time.Duration) (bool, float64) { return true, 0 }, within, "v2 reverted"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(3)
			stored := maps.Clone(f.keys)
			f.put("order", "v2")
			f.run(c.after, 40, c.respond)
			before := f.newRequests
			f.restore(stored)
			f.run(time.Second, 40, c.respond)
			f.put("order", "v2")
			f.run(within/2+time.Second, 40, c.respond)
			is.Equal(f.status(), c.end)
			if c.end == "v2 reverted" {
				is.Equal(f.newRequests, before) // a bad version gets no requests anew
			}
		})
	}
}
