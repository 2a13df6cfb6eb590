//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["behind"] = behind }

const (
	behindConns   = 500 // kept connections of clients
	behindTargets = 90  // of each service, with 6 slots each
	// behindPlan has answers of the largest size on the sheet, which take 400 ms from their first bytes to their last ones.
	behindPlan = "n=30000&delay=50&pause=400"
	otherPlan  = "n=100&delay=20"
)

// behind sends two safe requests at a time on kept connections. Some targets of the first one's service break off some of their
// answers. Those of the second one's service are sound, and run it. The case counts the second ones whose connection the host
// closes without an answer.
func behind(s *stage, trouble bool) int {
	s.configure(7, route("r-log", "/log/", "logs", 6), route("r-look", "/look/", "looks", 6))
	var sound []*target
	for i := range behindTargets {
		t, err := s.addTarget(fmt.Sprintf("i-log%02d", i), "logs", zones[0].zone)
		if err != nil {
			return notRun
		}
		t.faulty = trouble && i%10 < garbleTargets
		if t, err = s.addTarget(fmt.Sprintf("i-look%02d", i), "looks", zones[0].zone); err != nil {
			return notRun
		}
		sound = append(sound, t)
	}
	e, err := s.addEdge(0, s.store.address)
	if err != nil || !s.run([]*edge{e}) {
		return notRun
	}
	time.Sleep(inTouch)

	var mu sync.Mutex
	kept := 0
	var second []*sent
	var clients sync.WaitGroup
	start := make(chan struct{})
	for i := range behindConns {
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond)
			c, err := net.Dial("tcp", e.caller)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			reader := bufio.NewReader(c)
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			earlier := safeRequest("/look/", otherPlan)
			_, _ = c.Write(earlier.bytes(6000))
			if !earlier.readAnswer(reader) || earlier.status != http.StatusOK {
				s.log("connection %d isn't kept: answer %d, %s", i, earlier.status, earlier.note)
				return
			}
			<-start
			a, b := safeRequest("/log/", behindPlan), safeRequest("/look/", otherPlan)
			_, _ = c.Write(append(a.bytes(6000), b.bytes(6000)...))
			if a.readAnswer(reader) {
				b.readAnswer(reader)
			} else {
				b.note = "the connection has ended"
				_, _ = io.Copy(io.Discard, reader)
			}
			mu.Lock()
			defer mu.Unlock()
			kept++
			second = append(second, b)
			s.log("connection %d: %s answer %d %q, then %s answer %d %q", i, a.id, a.status, a.note, b.id, b.status, b.note)
		})
	}
	time.Sleep(4 * time.Second)
	close(start)
	clients.Wait()
	time.Sleep(time.Second)

	runs := allRuns(sound)
	answered, lost := 0, 0
	for _, b := range second {
		switch {
		case b.status > 0:
			answered++
		case len(runs[b.id]) > 0:
			lost++
			s.log("%s was run by the sound target %s, and the host has closed its connection without an answer", b.id, runs[b.id][0].target)
		}
	}
	s.log("%d kept connections; of the second requests %d answered, %d run and never answered (at most %d)", kept, answered, lost, mostLost)
	switch {
	case kept < behindConns*9/10 || e.ended():
		return notRun
	case lost > mostLost:
		return broken
	}
	return held
}

// mostLost is the number of requests for which the rule LOST allows this.
const mostLost = 3
