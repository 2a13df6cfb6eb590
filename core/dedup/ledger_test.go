package dedup_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayshift/core/dedup"
	"jayshift/internal/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

var epoch = time.Unix(1_800_000_000, 0)

const retention = 10 * time.Minute

// TestQuorumsMeet verifies that at most one run of a key is allowed, even when each attempt reaches a random subset of
// the keepers and new keepers join between attempts.
func TestQuorumsMeet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledgers []*dedup.Ledger
		for range 3 {
			ledgers = append(ledgers, dedup.New(retention))
		}
		runs := 0
		for i := range rapid.IntRange(2, 6).Draw(t, "attempts") {
			if rapid.IntRange(0, 3).Draw(t, "join") == 0 {
				ledgers = append(ledgers, dedup.New(retention))
			}
			// A host that does not know the newest keepers yet asks only the older ones.
			known := rapid.IntRange(3, len(ledgers)).Draw(t, "known")
			owner := dedup.Owner(fmt.Sprint(i))
			var answers []dedup.Record
			var reached []*dedup.Ledger
			for _, l := range ledgers[:known] {
				if rapid.IntRange(0, 2).Draw(t, "reached") > 0 {
					answers = append(answers, l.Start(epoch, "k", owner))
					reached = append(reached, l)
				}
			}
			verdict, _ := dedup.NewQuorum(known).Decide(answers)
			if verdict == dedup.MayRun {
				runs++
				continue
			}
			for _, l := range reached {
				l.Cancel("k", owner)
			}
		}
		if runs > 1 {
			t.Fatalf("%d runs of one key", runs)
		}
	})
}

// TestLedgerRetention verifies that outcomes expire after the retention time, and that the ledger keeps outcomes
// without their bodies when a shard reaches its limit of stored bytes.
func TestLedgerRetention(t *testing.T) {
	is := is.New(t)
	l := dedup.New(retention)
	is.Equal(l.Start(epoch, "k", "a").State, dedup.Fresh)
	is.Equal(l.Start(epoch, "k", "a").State, dedup.Fresh) // repeated by the same run
	is.Equal(l.Start(epoch, "k", "b").State, dedup.Running)
	l.Finish(epoch, "k", "b", dedup.Done, dedup.Outcome{Status: 500}) // ignored: "b" does not own the run
	l.Finish(epoch, "k", "a", dedup.Done, dedup.Outcome{Status: 201, Body: []byte("x")})
	l.Cancel("k", "a") // ignored: the run has ended
	got := l.Start(epoch.Add(retention-time.Second), "k", "c")
	is.Equal(got.State, dedup.Done)
	is.Equal(got.Outcome.Status, 201)
	is.Equal(l.Start(epoch.Add(retention+time.Minute), "k", "c").State, dedup.Fresh)

	large := dedup.Outcome{Status: 200, Body: make([]byte, 600<<10)}
	for i := range 200 {
		key := dedup.Key(fmt.Sprint(i))
		l.Start(epoch, key, "a")
		l.Finish(epoch, key, "a", dedup.Done, large)
	}
	whole, truncated := 0, 0
	for i := range 200 {
		r := l.Start(epoch, dedup.Key(fmt.Sprint(i)), "b")
		is.Equal(r.State, dedup.Done)
		if r.Outcome.Truncated {
			truncated++
		} else {
			whole++
		}
	}
	is.True(whole <= 32 && truncated > 0) // two of these bodies exceed a shard's limit
}
