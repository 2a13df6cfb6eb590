package watch_test

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/io/watch"
)

// TestAgeOfACopyCountsFromWhenTheStoreHadIt checks the age that a host gives a peer's copy: the sender's, and the time on the
// way. Peers of the last landing state no age.
func TestAgeOfACopyCountsFromWhenTheStoreHadIt(t *testing.T) {
	ms := func(n int) *int { return &n }
	for name, c := range map[string]struct {
		copied wire.Copy
		took   time.Duration // from the request to the arrival
		age    time.Duration
	}{
		"fresh":                        {wire.Copy{AgeMs: ms(0), WaitedMs: ms(0)}, 10 * time.Millisecond, 10 * time.Millisecond},
		"waited for a change":          {wire.Copy{AgeMs: ms(0), WaitedMs: ms(600)}, 610 * time.Millisecond, 10 * time.Millisecond},
		"3 s on the way":               {wire.Copy{AgeMs: ms(100), WaitedMs: ms(0)}, 3 * time.Second, 3100 * time.Millisecond},
		"old at the sender":            {wire.Copy{AgeMs: ms(9000), WaitedMs: ms(700)}, 700 * time.Millisecond, 9 * time.Second},
		"waits longer than it may":     {wire.Copy{AgeMs: ms(0), WaitedMs: ms(100_000)}, time.Second, 300 * time.Millisecond},
		"negative figures":             {wire.Copy{AgeMs: ms(-500), WaitedMs: ms(-500)}, 100 * time.Millisecond, 100 * time.Millisecond},
		"no figures: an earlier build": {wire.Copy{}, 700 * time.Millisecond, 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			now := start
			w := watch.New(watch.Deps{Decode: decode, Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return now }, OnChange: func() {}})
			c.copied.Full, c.copied.Revision = true, 5
			now = start.Add(c.took)
			w.ApplyCopy(c.copied, start)
			is.Equal(w.Age(), c.age)
			passed, ok := w.Copy(context.Background(), 0)
			is.True(ok)
			is.Equal(*passed.AgeMs, int(c.age.Milliseconds())) // and passes that on
			c.copied.Full, c.copied.AgeMs, c.copied.WaitedMs = false, ms(60_000), ms(0)
			w.ApplyCopy(c.copied, now)
			is.Equal(w.Age(), c.age) // a later copy that is older does not count
		})
	}
}
