package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPausedHost pauses a host until its peers have taken over its share. The first requests that it handles afterwards,
// before it has heard of any peer, are admitted from its minimum share only.
func TestPausedHost(t *testing.T) {
	const (
		hosts        = 3
		minimumShare = 0.35 / hosts
		burstShare   = 0.25
	)
	is := is.New(t)
	cl := newCluster(hosts, rate, 1)
	cl.setLoad(2*rate.PerSecond, 1.0/hosts)
	cl.run(4 * time.Second)
	cl.stopped[0] = true
	cl.run(takeover + 2*time.Second)
	admitted := 0.0
	for range 100 {
		if ok, _ := cl.limiters[0].Take(cl.now, team); ok {
			admitted++
		}
	}
	is.True(admitted <= minimumShare*burstShare*rate.Burst+1)
}
