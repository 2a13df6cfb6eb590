//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// load sends ordinary requests to edges in turn until it is stopped.
type load struct {
	done             chan struct{}
	answered, failed atomic.Int64
}

const (
	loadEvery = 20 * time.Millisecond
	loadTime  = 2 * time.Second
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
	q := safeRequest(fmt.Sprintf("/log/%d/", i%20), "n=100&delay=20")
	_, _ = c.Write(q.bytes(int(loadTime.Milliseconds())))
	q.readAnswer(bufio.NewReader(c))
	if q.status == http.StatusOK {
		l.answered.Add(1)
		return
	}
	l.failed.Add(1)
}
