package burn_test

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayshift/core/burn"
	"jayshift/internal/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

var epoch = time.Unix(1_800_000_000, 0)

// TestWindowMatchesRequestList compares the counts of a window with a full list of the requests, to the precision of a
// bucket.
func TestWindowMatchesRequestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := burn.New()
		s := burn.Series{Service: "s", Team: "t"}
		type request struct {
			at  time.Time
			bad bool
		}
		var requests []request
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Second)
			bad := rapid.Bool().Draw(t, "bad")
			tracker.Add(now, s, bad)
			requests = append(requests, request{now, bad})
		}
		for _, window := range []time.Duration{burn.ShortWindow, burn.LongWindow} {
			first := now.Add(-window).UnixNano() / int64(10*time.Second)
			want := burn.Count{}
			for _, r := range requests {
				if r.at.UnixNano()/int64(10*time.Second) > first {
					want = want.Add(burn.Count{Total: 1, Bad: map[bool]int64{true: 1}[r.bad]})
				}
			}
			if got := tracker.Window(now, window)[s]; got != want {
				t.Fatalf("window %s holds %v, want %v", window, got, want)
			}
		}
	})
}

func TestRate(t *testing.T) {
	is := is.New(t)
	is.Equal(burn.Count{Total: 1000, Bad: 1}.Rate(0.999) > 0.99, true)
	is.Equal(burn.Count{Total: 1000, Bad: 1}.Rate(0), 0.0)
	is.Equal(burn.Count{}.Rate(0.99), 0.0)
}
