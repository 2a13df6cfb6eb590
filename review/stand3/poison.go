//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases["poison"] = poison }

const (
	poisonTargets = 18
	poisonPath    = "/log/crash-"
	poisonEvery   = 2 * time.Second // until the request comes again
	poisonRounds  = 4               // in which it comes, before the restart and after it
	poisonRepeats = 3               // at once, each time: retry_abuse, x = 3.0
	crashTime     = 3 * time.Second // until a crashed target is back
	stability     = 4 * time.Second // stabilityS
	mostRetries   = 3               // that may reach targets
)

// poison has a request that crashes each target which begins to run it. A client repeats it at three hosts. Once it has crashed
// three targets, and stabilityS later, all hosts are killed at the same moment and started again. The case counts the retries that
// reach targets when the hosts are in touch again.
func poison(s *stage, trouble bool) int {
	s.configure(7, route("r-log", "/log/", "logs", 2), unsafeRoute("r-claim", "/claim/", "logs", 2))
	var targets []*target
	for i := range poisonTargets {
		t, err := s.addTarget(fmt.Sprintf("i-log%02d", i), "logs", zones[i%len(zones)].zone)
		if err != nil {
			return notRun
		}
		t.crashes = true
		targets = append(targets, t)
	}
	edges, ok := s.startEdges(len(zones))
	if !ok {
		return notRun
	}
	time.Sleep(inTouch)
	load := startLoad(edges)
	defer load.stop()

	var reached []string
	var clients sync.WaitGroup
	send := func(i int) {
		q := safeRequest(poisonPath, "n=100&crash=1")
		e := edges[i%len(edges)]
		clients.Go(func() {
			c, err := net.Dial("tcp", e.caller)
			if err != nil {
				s.log("%s sent to %s: no connection", q.id, e.name)
				return
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(3 * time.Second))
			_, _ = c.Write(q.bytes(2000))
			q.readAnswer(bufio.NewReader(c))
			s.log("%s sent to %s: answer %d %q", q.id, e.name, q.status, q.note)
		})
		reached = append(reached, q.id)
	}
	come := func() {
		for round := range poisonRounds {
			for i := range 1 + poisonRepeats {
				send(round + i)
			}
			time.Sleep(poisonEvery)
		}
	}
	come()
	clients.Wait()
	runs := allRuns(targets)
	first := 0
	for _, id := range reached {
		first += len(runs[id])
	}
	s.log("the request has crashed targets %d times before", first)
	if first < 3 {
		return notRun
	}
	time.Sleep(stability + crashTime)
	if trouble {
		for _, e := range edges {
			e.kill()
			s.log("%s killed", e.name)
		}
		time.Sleep(time.Second)
		if !s.run(edges) {
			return notRun
		}
	}
	time.Sleep(stability + 2*time.Second)
	reached = nil
	repeated := time.Now()
	come()
	clients.Wait()
	time.Sleep(loadTime)
	runs = allRuns(targets)
	for _, q := range load.lost(runs, repeated) {
		s.log("unsafe request %s was at work on %s: the client got %d %q", q.id, runs[q.id][0].target, q.status, q.note)
	}
	count := 0
	for _, id := range reached {
		if len(runs[id]) > 0 {
			count++
			s.log("retry %s has reached %d targets", id, len(runs[id]))
		}
	}
	s.log("%d of %d retries have reached targets (at most %d); %d unsafe requests were lost meanwhile", count, len(reached), mostRetries, len(load.lost(runs, repeated)))
	for _, e := range edges {
		if e.ended() {
			return notRun
		}
	}
	if count > mostRetries {
		return broken
	}
	return held
}
