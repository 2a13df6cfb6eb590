package queue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/queue"
)

var epoch = time.Unix(1_800_000_000, 0)

func ready(w *queue.Waiter) bool {
	select {
	case <-w.Ready:
		return true
	default:
		return false
	}
}

// TestTeamsTakeTurns checks that many waiting requests of one team do not delay another team: the request of the second
// team, queued last, is woken second.
func TestTeamsTakeTurns(t *testing.T) {
	is := is.New(t)
	q := queue.New(20)
	var loud []*queue.Waiter
	for range 5 {
		waiter, ok := q.Enqueue(epoch, "loud", time.Second)
		is.True(ok)
		loud = append(loud, waiter)
	}
	quiet, ok := q.Enqueue(epoch, "quiet", time.Second)
	is.True(ok)
	q.WakeNext()
	is.True(ready(loud[0]) && !ready(quiet))
	q.WakeNext()
	is.True(ready(quiet) && !ready(loud[1]))
	q.Requeue(loud[0]) // got no slot, and stays first of its team
	q.WakeNext()
	is.True(ready(loud[0]) && !ready(loud[1]))
}

// TestQueueRefusesEarly checks that the queue refuses a request that would wait too long at the measured rate, and that
// one team cannot fill the queue.
func TestQueueRefusesEarly(t *testing.T) {
	is := is.New(t)
	q := queue.New(100)
	now := epoch
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		q.RecordServed(now) // about 20 per second
	}
	joined := 0
	for i := range 40 {
		if _, ok := q.Enqueue(now, []ident.Team{"a", "b"}[i%2], 500*time.Millisecond); ok {
			joined++
		}
	}
	is.True(joined >= 8 && joined <= 12)
	full := queue.New(10)
	for range 10 {
		full.Enqueue(now, "loud", time.Hour)
	}
	_, ok := full.Enqueue(now, "quiet", time.Hour)
	is.True(ok) // one team cannot fill the queue
}

// TestRemoveAfterWakeWakesNext guards against a lost wake-up when a request is woken and then stops waiting.
func TestRemoveAfterWakeWakesNext(t *testing.T) {
	is := is.New(t)
	q := queue.New(10)
	first, _ := q.Enqueue(epoch, "a", time.Second)
	second, _ := q.Enqueue(epoch, "a", time.Second)
	q.WakeNext()
	q.Remove(first)
	is.True(ready(second))
	is.Equal(q.Length(), 0)
}
