package host_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

// TestEntryHostsFollowARestoredStore guards against hosts that lose configurations, keys' withdrawals or seats that the store
// has lost in a restore, and against changes after it that are not in force.
func TestEntryHostsFollowARestoredStore(t *testing.T) {
	for name, c := range map[string]struct {
		otherWrites int // after the restore
		drills      int
	}{
		"quiet store":               {0, 1},
		"busy store":                {400, 1},
		"three drills in a row":     {0, 3},
		"busy, two drills in a row": {400, 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			f, key, keyName := startFleet(t, singleService("v1"))
			for i := range c.drills {
				stored := f.Store.CopyNow()
				lost, lostName, err := f.Grant(ctx, "north")
				is.NoErr(err)
				is.NoErr(f.Apply(ctx, []wire.Resource{{Kind: "key", Name: keyName, Deleted: true}}))
				withdrawn := key
				key, keyName = lost, lostName
				eventually(t, "the withdrawn key is refused", func() bool { return allAnswer(f, withdrawn, http.StatusUnauthorized) })
				h, err := f.Restart(2) // its seat has an incarnation that the copy lacks
				is.NoErr(err)
				eventually(t, "the restarted host serves", func() bool { return answers(h.Addresses().Caller, lost, http.StatusOK) })
				generation := f.Hosts[0].Member.Table().Generation
				f.Store.SetFaults(fake.Faults{Down: true})
				time.Sleep(time.Second)
				f.Store.Restore(stored, c.otherWrites)
				f.Store.SetFaults(fake.Faults{})
				end := time.Now().Add(8 * time.Second)
				for time.Now().Before(end) {
					is.True(allAnswer(f, lost, http.StatusOK))
					is.True(allAnswer(f, withdrawn, http.StatusUnauthorized))
					time.Sleep(100 * time.Millisecond)
				}
				for _, h := range f.Hosts {
					is.True(h.Member.Table().Generation >= generation) // fence numbers do not go back
					is.Equal(len(h.Member.Table().Seats), 3)
				}
				is.NoErr(f.Apply(ctx, []wire.Resource{{Kind: "team", Name: "new-" + strconv.Itoa(i), Team: &wire.Team{Rate: 10, Burst: 10}}}))
				added, _, err := f.Grant(ctx, "new-"+strconv.Itoa(i))
				is.NoErr(err)
				is.True(allAnswer(f, added, http.StatusOK))
			}
		})
	}
}

// answers reports whether a host answers a request with the key with the status.
func answers(entry, key string, status int) bool {
	return readCall(key, "/whistle/read/1").send(http.DefaultClient, entry).status == status
}

// allAnswer reports whether all hosts do.
func allAnswer(f *fleet.Fleet, key string, status int) bool {
	for _, entry := range f.Entries() {
		if !answers(entry, key, status) {
			return false
		}
	}
	return true
}
