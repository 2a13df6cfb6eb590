//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// load sends ordinary requests to edges in turn until it is stopped, each second one on an unsafe route.
type load struct {
	done             chan struct{}
	answered, failed atomic.Int64

	mu      sync.Mutex
	claimed []*sent // the unsafe requests, and what became of them
}

const (
	loadEvery = 20 * time.Millisecond
	loadTime  = 2 * time.Second
	// loadPlan has the run time of claims on the sheet, 288 ms.
	loadPlan = "n=100&delay=288"
)

func startLoad(edges []*edge) *load {
	l := &load{done: make(chan struct{})}
	go func() {
		for i := 0; ; i++ {
			select {
			case <-l.done:
				return
			case <-time.After(loadEvery):
			}
			go l.send(edges[i%len(edges)], i)
		}
	}()
	return l
}

func (l *load) stop() { close(l.done) }

func (l *load) send(e *edge, i int) {
	c, err := net.DialTimeout("tcp", e.caller, time.Second)
	if err != nil {
		l.failed.Add(1)
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(loadTime))
	q := safeRequest(fmt.Sprintf("/log/%d/", i%20), loadPlan)
	if i%2 == 1 {
		q = unsafeRequest(fmt.Sprintf("/claim/%d/", i), loadPlan)
		defer func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.claimed = append(l.claimed, q)
		}()
	}
	_, _ = c.Write(q.bytes(int(loadTime.Milliseconds())))
	q.readAnswer(bufio.NewReader(c))
	if q.status == http.StatusOK {
		l.answered.Add(1)
		return
	}
	l.failed.Add(1)
}

// lost returns the unsafe requests that a target has begun to run since the given time, and whose client got no answer of a target.
func (l *load) lost(runs map[string][]run, since time.Time) []*sent {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []*sent
	for _, q := range l.claimed {
		if q.status != http.StatusOK && len(runs[q.id]) > 0 && runs[q.id][0].at.After(since) {
			list = append(list, q)
		}
	}
	return list
}
