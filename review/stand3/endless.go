//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["endless"] = endless }

const (
	endlessRequests = 600
	endlessTargets  = 20
	// endlessPlan is that of each request. An answer without end sends the body 20 times a second.
	endlessPlan = "n=30000&delay=50"
	// routeTimeout is timeoutS of the route, graceAfter the time after it by which there has to be a final answer.
	routeTimeout = 2 * time.Second
	graceAfter   = 500 * time.Millisecond
)

// endless sends safe requests to targets of which some answer some requests without end. Clients wait for 6 s. The case counts the
// requests that last longer than timeoutS, and those of them without a final answer half a second later.
func endless(s *stage, trouble bool) int {
	s.configure(7, route("r-log", "/log/", "logs", routeTimeout.Seconds()))
	for i := range endlessTargets {
		t, err := s.addTarget(fmt.Sprintf("i-log%02d", i), "logs", zones[0].zone)
		if err != nil {
			return notRun
		}
		t.faulty, t.endless = trouble && i%10 < garbleTargets, true
	}
	e, err := s.addEdge(0, s.store.address)
	if err != nil || !s.run([]*edge{e}) {
		return notRun
	}
	time.Sleep(inTouch)

	var mu sync.Mutex
	answered, late, open := 0, 0, 0
	var clients sync.WaitGroup
	for i := range endlessRequests {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 8 * time.Millisecond)
			c, err := net.Dial("tcp", e.caller)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			q := safeRequest("/log/", endlessPlan)
			_ = c.SetDeadline(time.Now().Add(6 * time.Second))
			_, _ = c.Write(q.bytes(6000))
			sentAt := time.Now()
			reader := bufio.NewReader(c)
			q.readAnswer(reader)
			lasted := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			if q.status > 0 {
				answered++
			}
			if lasted > routeTimeout {
				late++
			}
			if lasted > routeTimeout+graceAfter {
				open++
			}
			s.log("%s lasted %v: answer %d %q", q.id, lasted.Round(time.Millisecond), q.status, q.note)
		})
	}
	clients.Wait()
	s.log("%d requests: %d answered in full, %d lasted longer than timeoutS, %d of them without a final answer 0.5 s after it", endlessRequests, answered, late, open)
	switch {
	case answered < endlessRequests/4 || e.ended():
		return notRun
	case open >= 8 && 4*open > late:
		return broken
	}
	return held
}
