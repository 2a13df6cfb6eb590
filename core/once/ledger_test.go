package once_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayshift/core/once"
	"jayshift/internal/seed"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

var epoch = time.Unix(1_800_000_000, 0)

const memory = 10 * time.Minute

// TestQuorumsMeet starts runs of one key at random sets of keepers, with keepers that joined in between, and requires
// that no two may run.
func TestQuorumsMeet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ledgers []*once.Ledger
		for range 3 {
			ledgers = append(ledgers, once.New(memory))
		}
		ran := 0
		for i := range rapid.IntRange(2, 6).Draw(t, "tries") {
			if rapid.IntRange(0, 3).Draw(t, "join") == 0 {
				ledgers = append(ledgers, once.New(memory))
			}
			// A host that has not seen the newest keepers yet asks the older ones only.
			known := rapid.IntRange(3, len(ledgers)).Draw(t, "known")
			owner := once.Owner(fmt.Sprint(i))
			var answers []once.Record
			var reached []*once.Ledger
			for _, l := range ledgers[:known] {
				if rapid.IntRange(0, 2).Draw(t, "reached") > 0 {
					answers = append(answers, l.Start(epoch, "k", owner))
					reached = append(reached, l)
				}
			}
			verdict, _ := once.NewQuorum(known).Decide(answers)
			if verdict == once.MayRun {
				ran++
				continue
			}
			for _, l := range reached {
				l.Cancel("k", owner)
			}
		}
		if ran > 1 {
			t.Fatalf("%d runs of one key", ran)
		}
	})
}

// TestLedgerRemembers keeps outcomes for the memory and no longer, and answers by their status beyond its bytes.
func TestLedgerRemembers(t *testing.T) {
	is := is.New(t)
	l := once.New(memory)
	is.Equal(l.Start(epoch, "k", "a").State, once.Fresh)
	is.Equal(l.Start(epoch, "k", "a").State, once.Fresh) // the same run again
	is.Equal(l.Start(epoch, "k", "b").State, once.Running)
	l.Finish(epoch, "k", "b", once.Done, once.Outcome{Status: 500}) // not its run
	l.Finish(epoch, "k", "a", once.Done, once.Outcome{Status: 201, Body: []byte("x")})
	l.Cancel("k", "a") // too late
	got := l.Start(epoch.Add(memory-time.Second), "k", "c")
	is.Equal(got.State, once.Done)
	is.Equal(got.Outcome.Status, 201)
	is.Equal(l.Start(epoch.Add(memory+time.Minute), "k", "c").State, once.Fresh)

	large := once.Outcome{Status: 200, Body: make([]byte, 600<<10)}
	for i := range 200 {
		key := once.Key(fmt.Sprint(i))
		l.Start(epoch, key, "a")
		l.Finish(epoch, key, "a", once.Done, large)
	}
	kept, cut := 0, 0
	for i := range 200 {
		r := l.Start(epoch, once.Key(fmt.Sprint(i)), "b")
		is.Equal(r.State, once.Done)
		if r.Outcome.Truncated {
			cut++
		} else {
			kept++
		}
	}
	is.True(kept <= 32 && cut > 0) // one a shard
}
