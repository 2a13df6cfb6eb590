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

// TestWithdrawnKeyOnOpenConnection withdraws a key while its callers stay connected. Every host must refuse the key on
// the open connections.
func TestWithdrawnKeyOnOpenConnection(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, name := startFleet(t, singleService("v1"))
	clients := make([]*http.Client, len(f.Hosts))
	for i, entry := range f.Entries() {
		clients[i] = &http.Client{}
		is.Equal(readCall(key, "/whistle/read/1").send(clients[i], entry).status, http.StatusOK)
	}
	is.NoErr(f.Apply(context.Background(), []wire.Resource{{Kind: "key", Name: name, Deleted: true}}))
	for i, entry := range f.Entries() {
		got := readCall(key, "/whistle/read/1").send(clients[i], entry)
		is.Equal(got.status, http.StatusUnauthorized)
		is.True(got.notRun())
	}
	_, keys, _ := f.Totals()
	is.Equal(keys, 0) // no backend server saw a key
}

// TestOperatorsRace writes one team from the same revision through every host at once. Exactly one write may succeed.
func TestOperatorsRace(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := startFleet(t, singleService("v1"))
	ctx := context.Background()
	list, err := f.OperatorClient().List(ctx, "team")
	is.NoErr(err)
	var wg sync.WaitGroup
	errs := make([]error, len(f.Hosts))
	for i, h := range f.Hosts {
		change := list[0]
		change.Team = &wire.Team{Rate: float64(100 + i), Burst: 10, Parts: list[0].Team.Parts}
		wg.Go(func() {
			_, errs[i] = client.New(h.Addresses().Operator, "").Apply(ctx, []wire.Resource{change})
		})
	}
	wg.Wait()
	succeeded := 0
	for _, err := range errs {
		if err == nil {
			succeeded++
			continue
		}
		is.True(errors.Is(err, client.ErrRefused))
	}
	is.Equal(succeeded, 1) // exactly one write succeeds
}

// TestLostAnswerIsSettledByReading loses the store's answer to a write that has taken effect. The host must read the
// store to learn that the write succeeded.
func TestLostAnswerIsSettledByReading(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := startFleet(t, singleService("v1"))
	ctx := context.Background()
	// Only a transaction that writes the head key loses its answer. A renewal could otherwise use up the single fault.
	f.Store.SetFaults(fake.Faults{LoseAnswer: 1, LoseKey: "/jayshift/state/head"})
	applied, err := f.OperatorClient().Apply(ctx, []wire.Resource{{Kind: "team", Name: "south", Team: &wire.Team{Rate: 10, Burst: 10}}})
	is.NoErr(err)
	is.NoErr(f.WaitInForce(ctx, int(applied.Revision)))
	_, found := f.Hosts[1].Feed.Snapshot().Team("south")
	is.True(found)
}

// TestBadResourcesAreRefusedWhole applies a valid and an invalid resource together. Neither may be stored.
func TestBadResourcesAreRefusedWhole(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := startFleet(t, singleService("v1"))
	before := f.Store.Values("/jayshift/state/resource/")
	_, err := f.OperatorClient().Apply(context.Background(), []wire.Resource{
		{Kind: "team", Name: "good", Team: &wire.Team{Rate: 1, Burst: 1}},
		{Kind: "shift", Name: "bad", Shift: &wire.Shift{Services: []string{"nowhere"}, Cap: -1}},
	})
	is.True(errors.Is(err, client.ErrRefused))
	is.Equal(len(f.Store.Values("/jayshift/state/resource/")), len(before)) // nothing was stored
}

// TestLaggingWatch holds back the store's watch events. The hosts must detect that their watch lags behind the store,
// and reload the configuration.
func TestLaggingWatch(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, _, _ := startFleet(t, singleService("v1"))
	ctx := context.Background()
	f.Store.SetFaults(fake.Faults{HoldWatch: true})
	applied, err := f.OperatorClient().Apply(ctx, []wire.Resource{{Kind: "team", Name: "south", Team: &wire.Team{Rate: 10, Burst: 10}}})
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(ctx, inForceTimeout)
	defer cancel()
	is.NoErr(f.WaitInForce(ctx, int(applied.Revision)))
}

// inForceTimeout is the documented time within which a change is in force at every host.
const inForceTimeout = 16 * time.Second

// TestStoreOutage makes the store unavailable for longer than the isolation limit. Hosts that are linked to each other
// must go on serving, and a host that is also cut off from the others must stop until the store is available again.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := startFleet(t, singleService("v1"))
	f.Store.SetFaults(fake.Faults{Down: true})
	for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, entry := range f.Entries() {
			is.Equal(readCall(key, "/whistle/read/1").send(http.DefaultClient, entry).status, http.StatusOK)
		}
	}
	_, err := f.OperatorClient().Apply(context.Background(), []wire.Resource{{Kind: "team", Name: "x", Team: &wire.Team{Rate: 1, Burst: 1}}})
	is.True(errors.Is(err, client.ErrRefused)) // operators get an error while the store is unavailable

	for _, h := range f.Hosts[1:] {
		h.Mesh.SetBlocked("entry-1", true)
		f.Hosts[0].Mesh.SetBlocked("entry-2", true)
		f.Hosts[0].Mesh.SetBlocked("entry-3", true)
	}
	eventually(t, "the isolated host refuses requests", func() bool {
		got := readCall(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0])
		return got.status == http.StatusServiceUnavailable && got.notRun()
	})
	is.Equal(readCall(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[1]).status, http.StatusOK)
	f.Store.SetFaults(fake.Faults{})
	eventually(t, "the isolated host serves again after the store is available", func() bool {
		return readCall(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0]).status == http.StatusOK
	})
}

// TestRestartTakesItsSeatAgain restarts a host on the same link address. It must serve without waiting until its
// earlier seat is revoked.
func TestRestartTakesItsSeatAgain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := startFleet(t, singleService("v1"))
	revision := f.Hosts[2].Feed.Snapshot().Revision
	h, err := f.Restart(2)
	is.NoErr(err)
	eventually(t, "the restarted host serves", func() bool {
		return readCall(key, "/whistle/read/1").send(http.DefaultClient, h.Addresses().Caller).status == http.StatusOK
	})
	is.True(h.Feed.Snapshot().Revision >= revision) // never an older configuration
}

// TestTimeToInForce measures the time from a write until it is in force at every host. It runs only if JAYSHIFT_MEASURE
// is set.
func TestTimeToInForce(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	for _, hosts := range []int{3, 10} {
		o := singleService("v1")
		o.Hosts = hosts
		f, _, _ := startFleet(t, o)
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
