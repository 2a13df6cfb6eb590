// Package moves_test plays moves of a service to another version in virtual time.
package moves_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/io/moves"
)

const (
	moveTime   = 20 * time.Second
	tripGrace  = 2 * time.Second // after the evidence, a bad version gets nothing more
	trialShare = 0.02
	lateShare  = 0.25 // share from which a version turns bad that is bad later
	seeds      = 25
)

// moved is what became of a move.
type moved struct {
	verdict   wire.Verdict
	took      time.Duration
	share     float64 // of all requests that the new version got
	trialPart float64 // largest part of all requests before the first judgement
	lastNew   time.Time
	ended     time.Time
}

// move moves the service to v2, whose requests end as given.
func move(seed uint64, end func(f *fleet, late bool) (failed bool, took time.Duration)) moved {
	f := newFleet(seed, moveTime, trialShare)
	late := false
	f.end = func(_ time.Time, share float64) (bool, time.Duration) {
		late = late || share >= lateShare
		return end(f, late)
	}
	var m moved
	f.run(func() bool {
		if !late && f.hosts[0].verdict.Shares["whistle"] <= trialShare && f.fresh > 0 {
			m.trialPart = max(m.trialPart, f.freshPart())
		}
		_, ended := f.ended()
		return ended || f.now.After(begun.Add(2*moveTime))
	})
	m.verdict, _ = f.ended()
	m.ended = f.now
	m.took = f.now.Sub(begun)
	m.share = f.freshPart()
	f.run(func() bool { return f.now.After(m.ended.Add(tripGrace + time.Second)) })
	m.lastNew = f.lastFresh
	return m
}

func good(*fleet, bool) (bool, time.Duration) { return false, usualTook }

func slow(bad bool) time.Duration {
	if bad {
		return 12 * usualTook
	}
	return usualTook
}

// TestBadVersionsAreTakenBack moves to versions that are bad in different ways, at once or later, on a machine that is
// slow now and then.
func TestBadVersionsAreTakenBack(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*fleet, bool) (bool, time.Duration){
		"fails-at-once":     func(*fleet, bool) (bool, time.Duration) { return true, usualTook },
		"fails-sometimes":   func(f *fleet, _ bool) (bool, time.Duration) { return f.random.Float64() < 0.3, usualTook },
		"fails-on-one-path": func(f *fleet, _ bool) (bool, time.Duration) { f.badRoute = "/read/"; return false, usualTook },
		"slow":              func(*fleet, bool) (bool, time.Duration) { return false, slow(true) },
		"fails-later":       func(f *fleet, late bool) (bool, time.Duration) { return late && f.random.Float64() < 0.5, usualTook },
		"slow-later":        func(_ *fleet, late bool) (bool, time.Duration) { return false, slow(late) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			for seed := range uint64(seeds) {
				m := move(seed, end)
				t.Logf("seed=%d state=%s took=%s share-of-new=%.2f%% trial-part=%.2f%% reason=%q",
					seed, m.verdict.State, m.took, 100*m.share, 100*m.trialPart, m.verdict.Reason)
				is.Equal(m.verdict.State, moves.Reverted)
				is.True(m.trialPart <= trialShare)
				is.True(m.lastNew.Before(m.ended.Add(tripGrace)))
				if !strings.HasSuffix(name, "later") {
					is.True(m.share <= trialShare) // judged before the share grew
				}
			}
		})
	}
}

// TestGoodVersionIsDoneInTime moves to a version that is as good as the old one, on a machine that is slow now and then.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(2 * seeds) {
		m := move(seed, good)
		t.Logf("seed=%d state=%s took=%s reason=%q", seed, m.verdict.State, m.took, m.verdict.Reason)
		is.Equal(m.verdict.State, moves.Done)
		is.True(m.took <= moveTime)
	}
}
