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

// move moves the service to v2 under load; change is applied to v2's backend servers at the start, and again when
// the share has passed a quarter, with late set.
func move(t *testing.T, change func(b *fake.Behaviour, late bool)) moved {
	t.Helper()
	is := is.New(t)
	f, key, _ := start(t, one("v1", "v2"))
	set := func(late bool) {
		for name, b := range f.Backends {
			if strings.Contains(name, "-v2-") {
				b.Set(func(act *fake.Behaviour) { change(act, late) })
			}
		}
	}
	set(false)
	stop := make(chan struct{})
	wait, bad, _ := pound(f, key, stop)
	started := time.Now()
	ctx := context.Background()
	applied, err := f.Operator().Apply(ctx, []wire.Resource{{Kind: "shift", Name: "upgrade", Shift: &wire.Shift{
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
			switch share := stated.Shares["whistle"]; {
			case share > 0 && share <= trialShare:
				part = max(part, newPart(f))
			case share >= 0.25:
				set(true)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	m.verdict, err = f.Operator().Watch(ctx, "shift", "upgrade", int(applied.Revision), func(wire.Verdict) {})
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
		if seen := b.Seen(); strings.Contains(name, "-v2-") && seen.LastStart.After(m.lastNew) {
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
		n := b.Seen().Requests
		all += n
		if strings.Contains(name, "-v2-") {
			fresh += n
		}
	}
	return float64(fresh) / float64(max(all, 1))
}

// TestBadVersionsAreTakenBack moves to versions that are bad in different ways, at once or later.
func TestBadVersionsAreTakenBack(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(*fake.Behaviour, bool){
		"fails-at-once":     func(b *fake.Behaviour, _ bool) { b.FailRate = 1 },
		"fails-sometimes":   func(b *fake.Behaviour, _ bool) { b.FailRate = 0.3 },
		"fails-on-one-path": func(b *fake.Behaviour, _ bool) { b.FailPath = "/read/" },
		"slow":              func(b *fake.Behaviour, _ bool) { b.Latency = 60 * time.Millisecond },
		"fails-later": func(b *fake.Behaviour, late bool) {
			if late {
				b.FailRate = 0.5
			}
		},
		"slow-later": func(b *fake.Behaviour, late bool) {
			if late {
				b.Latency = 60 * time.Millisecond
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			m := move(t, change)
			is.Equal(m.verdict.State, "reverted")
			is.True(m.trialPart <= trialShare)
			is.True(m.lastNew.Before(m.ended.Add(tripGrace)))
			if !strings.HasSuffix(name, "later") {
				is.True(m.share <= trialShare) // judged before the share grew
			}
		})
	}
}

// TestGoodVersionIsDoneInTime moves to a version that is as good as the old one.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := move(t, func(*fake.Behaviour, bool) {})
	is.Equal(m.verdict.State, "done")
	is.True(m.took <= moveTime)
}
