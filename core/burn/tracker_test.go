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

// TestWindowAgainstNaive compares the ring with a list of all requests, to the width of a bucket.
func TestWindowAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker := burn.New()
		s := burn.Series{Service: "s", Team: "t"}
		type one struct {
			at  time.Time
			bad bool
		}
		var all []one
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "pause")) * time.Second)
			bad := rapid.Bool().Draw(t, "bad")
			tracker.Add(now, s, bad)
			all = append(all, one{now, bad})
		}
		for _, window := range []time.Duration{burn.ShortWindow, burn.LongWindow} {
			first := now.Add(-window).UnixNano() / int64(10*time.Second)
			want := burn.Count{}
			for _, o := range all {
				if o.at.UnixNano()/int64(10*time.Second) > first {
					want = want.Add(burn.Count{Total: 1, Bad: map[bool]int64{true: 1}[o.bad]})
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
