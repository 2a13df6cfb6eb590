package host_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/io/client"
)

// TestWithdrawnKeyOnOpenConnection withdraws a key whose caller stays connected.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, name := start(t, one("v1"))
	callers := make([]*http.Client, len(f.Hosts))
	for i, entry := range f.Entries() {
		callers[i] = &http.Client{}
		is.Equal(read(key, "/whistle/read/1").send(callers[i], entry).status, http.StatusOK)
	}
	is.NoErr(f.Apply(context.Background(), []wire.Resource{{Kind: "key", Name: name, Deleted: true}}))
	for i, entry := range f.Entries() {
		got := read(key, "/whistle/read/1").send(callers[i], entry)
		is.Equal(got.status, http.StatusUnauthorized)
		is.True(got.notRun())
	}
	_, keys, _ := f.Totals()
	is.Equal(keys, 0) // no backend server saw a key
}

// TestOperatorsRace has two operators change one team at the same revision through different hosts.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := start(t, one("v1"))
	ctx := context.Background()
	list, err := f.OperatorClient().List(ctx, "team")
	is.NoErr(err)
	var wait sync.WaitGroup
	errs := make([]error, len(f.Hosts))
	for i, h := range f.Hosts {
		change := list[0]
		change.Team = &wire.Team{Rate: float64(100 + i), Burst: 10, Parts: list[0].Team.Parts}
		wait.Go(func() {
			_, errs[i] = client.New(h.Addresses().Operator, "").Apply(ctx, []wire.Resource{change})
		})
	}
	wait.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		is.True(errors.Is(err, client.ErrRefused))
	}
	is.Equal(won, 1) // exactly one operator wins
}

// TestLostAnswerIsSettledByReading loses the answer of a write that has taken effect.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := start(t, one("v1"))
	ctx := context.Background()
	// Only transactions that write the head lose their answer, so that renewals do not use up the fault.
	f.Store.SetFaults(fake.Faults{LoseAnswer: 1, LoseKey: "/jayshift/state/head"})
	applied, err := f.OperatorClient().Apply(ctx, []wire.Resource{{Kind: "team", Name: "south", Team: &wire.Team{Rate: 10, Burst: 10}}})
	is.NoErr(err)
	is.NoErr(f.WaitInForce(ctx, int(applied.Revision)))
	_, found := f.Hosts[1].Feed.Snapshot().Team("south")
	is.True(found)
}

// TestBadResourcesAreRefusedWhole applies a good and a bad resource together.
func TestBadResourcesAreRefusedWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := start(t, one("v1"))
	before := f.Store.Values("/jayshift/state/resource/")
	_, err := f.OperatorClient().Apply(context.Background(), []wire.Resource{
		{Kind: "team", Name: "good", Team: &wire.Team{Rate: 1, Burst: 1}},
		{Kind: "shift", Name: "bad", Shift: &wire.Shift{Services: []string{"nowhere"}, Cap: -1}},
	})
	is.True(errors.Is(err, client.ErrRefused))
	is.Equal(len(f.Store.Values("/jayshift/state/resource/")), len(before)) // nothing was stored
}

// TestLaggingWatch holds back the store's watch events: hosts notice that they lag and read again.
func TestLaggingWatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := start(t, one("v1"))
	ctx := context.Background()
	f.Store.SetFaults(fake.Faults{HoldWatch: true})
	applied, err := f.OperatorClient().Apply(ctx, []wire.Resource{{Kind: "team", Name: "south", Team: &wire.Team{Rate: 10, Burst: 10}}})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(ctx, inForceLimit)
	defer cancel()
	is.NoErr(f.WaitInForce(ctx, int(applied.Revision)))
}

// inForceLimit is the stated time within which a change is in force everywhere.
const inForceLimit = 16 * time.Second

// TestStoreOutage keeps a connected fleet serving while the store is out for longer than the isolation limit,
// and stops a host that is cut off from both the store and the others.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	f.Store.SetFaults(fake.Faults{Down: true})
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, entry := range f.Entries() {
			is.Equal(read(key, "/whistle/read/1").send(http.DefaultClient, entry).status, http.StatusOK)
		}
	}
	_, err := f.OperatorClient().Apply(context.Background(), []wire.Resource{{Kind: "team", Name: "x", Team: &wire.Team{Rate: 1, Burst: 1}}})
	is.True(errors.Is(err, client.ErrRefused)) // operators are told that the store is out

	for _, h := range f.Hosts[1:] {
		h.Mesh.SetCut("entry-1", true)
		f.Hosts[0].Mesh.SetCut("entry-2", true)
		f.Hosts[0].Mesh.SetCut("entry-3", true)
	}
	eventually(t, "the cut host refuses", func() bool {
		got := read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0])
		return got.status == http.StatusServiceUnavailable && got.notRun()
	})
	is.Equal(read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[1]).status, http.StatusOK)
	f.Store.SetFaults(fake.Faults{})
	eventually(t, "the cut host serves again once the store is back", func() bool {
		return read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0]).status == http.StatusOK
	})
}

// TestRestartTakesItsSeatAgain restarts a host on its link address: it serves without waiting for a revocation.
func TestRestartTakesItsSeatAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	revision := f.Hosts[2].Feed.Snapshot().Revision
	h, err := f.Restart(2)
	is.NoErr(err)
	eventually(t, "the restarted host serves", func() bool {
		return read(key, "/whistle/read/1").send(http.DefaultClient, h.Addresses().Caller).status == http.StatusOK
	})
	is.True(h.Feed.Snapshot().Revision >= revision) // never an older configuration
}

// TestTimeToInForce measures the time from a write to its being in force at every host, when JAYSHIFT_MEASURE is set.
func TestTimeToInForce(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	for _, hosts := range []int{3, 10} {
		o := one("v1")
		o.Hosts = hosts
		f, _, _ := start(t, o)
		var times []time.Duration
		for i := range 100 {
			started := time.Now()
			applied, err := f.OperatorClient().Apply(context.Background(),
				[]wire.Resource{{Kind: "team", Name: "north", Team: &wire.Team{Rate: float64(1000 + i), Burst: 100}}})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := f.OperatorClient().Watch(context.Background(), "team", "north", int(applied.Revision), func(wire.Verdict) {}); err != nil {
				t.Fatal(err)
			}
			times = append(times, time.Since(started))
		}
		slices.Sort(times)
		t.Logf("hosts=%d time from apply to in-force: p50 %s p99 %s max %s", hosts, times[50], times[98], times[99])
		f.Close()
	}
}
