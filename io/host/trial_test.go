package host_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

const (
	moveTime   = 20 * time.Second
	tripGrace  = 2 * time.Second // after the evidence, a bad version gets nothing more
	trialShare = 0.02
	answerTook = 50 * time.Millisecond // long beside what a busy machine adds
)

// moved is what became of a move under load.
type moved struct {
	verdict   wire.Verdict
	took      time.Duration
	share     float64   // of all requests that the new version got
	trialPart float64   // largest part of all requests before the first judgement
	lastNew   time.Time // when the new version last got a request
	ended     time.Time
	bad       int64
}

// move moves the service to v2 under load; change is applied to v2's backend servers at the start.
func move(t *testing.T, change func(b *fake.Behaviour)) moved {
	t.Helper()
	is := is.New(t)
	o := one("v1", "v2")
	o.Services[0].Behaviour.Latency = answerTook
	f, key, _ := start(t, o)
	for name, b := range f.Backends {
		if strings.Contains(name, "-v2-") {
			b.UpdateBehaviour(change)
		}
	}
	stop := make(chan struct{})
	wait, bad, _ := pound(f, key, stop)
	started := time.Now()
	ctx := context.Background()
	applied, err := f.OperatorClient().Apply(ctx, []wire.Resource{{Kind: "shift", Name: "upgrade", Shift: &wire.Shift{
		Services: []string{"whistle"}, Versions: map[string]string{"whistle": "v2"},
		By: started.Add(moveTime).UTC().Format(time.RFC3339), TrialShare: trialShare,
	}}})
	is.NoErr(err)
	var m moved
	trialPart := make(chan float64, 1)
	watched, ended := context.WithCancel(ctx)
	go func() {
		part := 0.0
		defer func() { trialPart <- part }()
		for watched.Err() == nil {
			stated, _ := f.Hosts[0].Feed.Verdict("upgrade")
			if share := stated.Shares["whistle"]; share > 0 && share <= trialShare {
				part = max(part, newPart(f))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	m.verdict, err = f.OperatorClient().Watch(ctx, "shift", "upgrade", int(applied.Revision), func(wire.Verdict) {})
	is.NoErr(err)
	m.ended = time.Now()
	ended()
	m.trialPart = <-trialPart
	m.took = m.ended.Sub(started)
	m.share = newPart(f)
	time.Sleep(tripGrace + time.Second)
	close(stop)
	wait.Wait()
	m.bad = bad.Load()
	for name, b := range f.Backends {
		if seen := b.Stats(); strings.Contains(name, "-v2-") && seen.LastStart.After(m.lastNew) {
			m.lastNew = seen.LastStart
		}
	}
	t.Logf("state=%s took=%s share-of-new=%.2f%% trial-part=%.2f%% not-answered=%d reason=%q",
		m.verdict.State, m.took.Round(time.Millisecond), 100*m.share, 100*m.trialPart, m.bad, m.verdict.Reason)
	return m
}

// newPart returns the part of all requests that the new version got.
func newPart(f *fleet.Fleet) float64 {
	fresh, all := 0, 0
	for name, b := range f.Backends {
		n := b.Stats().Requests
		all += n
		if strings.Contains(name, "-v2-") {
			fresh += n
		}
	}
	return float64(fresh) / float64(max(all, 1))
}

// TestBadVersionIsTakenBack moves to a version that fails at once. What the judgement makes of other faults, and how
// long a move takes, is played in virtual time by the tests of io/moves.
func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := move(t, func(b *fake.Behaviour) { b.FailRate = 1 })
	is.Equal(m.verdict.State, "reverted")
	is.True(m.trialPart <= trialShare)
	is.True(m.share <= trialShare) // judged before the share grew
	is.True(m.lastNew.Before(m.ended.Add(tripGrace)))
}

// TestGoodVersionIsDone moves to a version that is as good as the old one.
func TestGoodVersionIsDone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := move(t, func(*fake.Behaviour) {})
	is.Equal(m.verdict.State, "done")
}
