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
	moveDuration  = 20 * time.Second
	revertGrace   = 2 * time.Second // time after the move's end within which a bad version must get its last request
	trialShare    = 0.02
	answerLatency = 50 * time.Millisecond // long compared with the delay that a busy machine adds
)

// moveResult is the result of a move under load.
type moveResult struct {
	verdict        wire.Verdict
	duration       time.Duration
	newShare       float64   // share of all requests that the new version got
	maxTrialShare  float64   // highest share of the new version while the verdict gave at most the trial share
	lastNewRequest time.Time // time of the last request to the new version
	endedAt        time.Time
	failed         int64
}

// runMove moves the service to v2 under load and waits until the move has ended. It applies change to the backend
// servers of v2 first.
func runMove(t *testing.T, change func(b *fake.Behaviour)) moveResult {
	t.Helper()
	is := is.New(t)
	o := singleService("v1", "v2")
	o.Services[0].Behaviour.Latency = answerLatency
	f, key, _ := startFleet(t, o)
	for name, b := range f.Backends {
		if strings.Contains(name, "-v2-") {
			b.UpdateBehaviour(change)
		}
	}
	stop := make(chan struct{})
	wg, failed, _ := startLoad(f, key, stop)
	started := time.Now()
	ctx := context.Background()
	applied, err := f.OperatorClient().Apply(ctx, []wire.Resource{{Kind: "shift", Name: "upgrade", Shift: &wire.Shift{
		Services: []string{"whistle"}, Versions: map[string]string{"whistle": "v2"},
		By: started.Add(moveDuration).UTC().Format(time.RFC3339), TrialShare: trialShare,
	}}})
	is.NoErr(err)
	var m moveResult
	maxShareCh := make(chan float64, 1)
	watchCtx, stopWatching := context.WithCancel(ctx)
	go func() {
		maxShare := 0.0
		defer func() { maxShareCh <- maxShare }()
		for watchCtx.Err() == nil {
			verdict, _ := f.Hosts[0].Feed.Verdict("upgrade")
			if share := verdict.Shares["whistle"]; share > 0 && share <= trialShare {
				maxShare = max(maxShare, newVersionShare(f))
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	m.verdict, err = f.OperatorClient().Watch(ctx, "shift", "upgrade", int(applied.Revision), func(wire.Verdict) {})
	is.NoErr(err)
	m.endedAt = time.Now()
	stopWatching()
	m.maxTrialShare = <-maxShareCh
	m.duration = m.endedAt.Sub(started)
	m.newShare = newVersionShare(f)
	time.Sleep(revertGrace + time.Second)
	close(stop)
	wg.Wait()
	m.failed = failed.Load()
	for name, b := range f.Backends {
		if stats := b.Stats(); strings.Contains(name, "-v2-") && stats.LastStart.After(m.lastNewRequest) {
			m.lastNewRequest = stats.LastStart
		}
	}
	t.Logf("state=%s took=%s share-of-new=%.2f%% trial-part=%.2f%% not-answered=%d reason=%q",
		m.verdict.State, m.duration.Round(time.Millisecond), 100*m.newShare, 100*m.maxTrialShare, m.failed, m.verdict.Reason)
	return m
}

// newVersionShare returns the share of all requests that the new version got.
func newVersionShare(f *fleet.Fleet) float64 {
	newRequests, allRequests := 0, 0
	for name, b := range f.Backends {
		n := b.Stats().Requests
		allRequests += n
		if strings.Contains(name, "-v2-") {
			newRequests += n
		}
	}
	return float64(newRequests) / float64(max(allRequests, 1))
}

// TestBadVersionIsTakenBack moves to a version that fails every request. The move must be reverted during the trial.
// The tests of io/moves cover other faults and the duration of moves in virtual time.
func TestBadVersionIsTakenBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := runMove(t, func(b *fake.Behaviour) { b.FailRate = 1 })
	is.Equal(m.verdict.State, "reverted")
	is.True(m.maxTrialShare <= trialShare)
	is.True(m.newShare <= trialShare) // reverted before the share grew
	is.True(m.lastNewRequest.Before(m.endedAt.Add(revertGrace)))
}

// TestGoodVersionIsDone moves to a version that behaves like the old one. The move must be completed.
func TestGoodVersionIsDone(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	m := runMove(t, func(*fake.Behaviour) {})
	is.Equal(m.verdict.State, "done")
}
