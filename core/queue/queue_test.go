package queue_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/queue"
)

var epoch = time.Unix(1_800_000_000, 0)

func ready(t *queue.Ticket) bool {
	select {
	case <-t.Ready:
		return true
	default:
		return false
	}
}

// TestTeamsTakeTurns queues many requests of one team before one of another: the other is second.
func TestTeamsTakeTurns(t *testing.T) {
	is := is.New(t)
	q := queue.New(20)
	var loud []*queue.Ticket
	for range 5 {
		ticket, ok := q.Join(epoch, "loud", time.Second)
		is.True(ok)
		loud = append(loud, ticket)
	}
	quiet, ok := q.Join(epoch, "quiet", time.Second)
	is.True(ok)
	q.Wake()
	is.True(ready(loud[0]) && !ready(quiet))
	q.Wake()
	is.True(ready(quiet) && !ready(loud[1]))
	q.Rejoin(loud[0]) // found no slot, and stays ahead of its team
	q.Wake()
	is.True(ready(loud[0]) && !ready(loud[1]))
}

// TestQueueRefusesEarly refuses a request whose turn would not come in time, and one team that would fill the queue.
func TestQueueRefusesEarly(t *testing.T) {
	is := is.New(t)
	q := queue.New(100)
	now := epoch
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		q.Served(now) // about 20 a second
	}
	joined := 0
	for i := range 40 {
		if _, ok := q.Join(now, []ident.Team{"a", "b"}[i%2], 500*time.Millisecond); ok {
			joined++
		}
	}
	is.True(joined >= 8 && joined <= 12)
	full := queue.New(10)
	for range 10 {
		full.Join(now, "loud", time.Hour)
	}
	_, ok := full.Join(now, "quiet", time.Hour)
	is.True(ok) // one team cannot take all places
}

// TestLeavePassesTheTurnOn lets a ticket give up after its turn had come.
func TestLeavePassesTheTurnOn(t *testing.T) {
	is := is.New(t)
	q := queue.New(10)
	first, _ := q.Join(epoch, "a", time.Second)
	second, _ := q.Join(epoch, "a", time.Second)
	q.Wake()
	q.Leave(first)
	is.True(ready(second))
	is.Equal(q.Length(), 0)
}
