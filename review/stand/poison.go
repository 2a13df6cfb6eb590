//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	poisonPath = "/read/report-of-1999" // the request that crashes each target that begins to run it
	maxReturns = 3                      // of such a request that may reach targets, stabilityS after the third crash
	inTouch    = stability + time.Second
)

func sortTimes(list []time.Time) {
	slices.SortFunc(list, func(a, b time.Time) int { return a.Compare(b) })
}

// addPoisoned starts targets, which crash on the poison request if that is said.
func (s *stage) addPoisoned(count int, crash bool) error {
	for i := range count {
		t, err := s.addTarget(fmt.Sprintf("t%d", i+1), 4, 60*time.Millisecond)
		if err != nil {
			return err
		}
		t.crashes = func(r *http.Request) bool { return crash && r.URL.Path == poisonPath }
	}
	return nil
}

func (s *stage) addHosts(count int) error {
	for i := range count {
		if _, err := s.addHost(fmt.Sprintf("front-%d", i+1), s.store.address); err != nil {
			return err
		}
	}
	return nil
}

// traffic sends the usual requests to all hosts in turn until stop is called. That notes how many were sent, how many had no
// answer of a target, and how many of the unsafe ones began to run and had none.
func (s *stage) traffic(perSecond int) (stop func()) {
	var sent, unserved atomic.Int64
	var mu sync.Mutex
	var unsafe []string
	var callers sync.WaitGroup
	done := make(chan struct{})
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	callers.Go(func() {
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			h := s.hosts[n%len(s.hosts)]
			method, path := http.MethodGet, fmt.Sprintf("/read/%d", n)
			if n/len(s.hosts)%2 == 0 {
				method, path = http.MethodPost, fmt.Sprintf("/write/%d", n)
			}
			callers.Go(func() {
				a := s.send(h, method, path)
				sent.Add(1)
				if !a.signed {
					unserved.Add(1)
				}
				if method == http.MethodPost && !a.signed {
					mu.Lock()
					unsafe = append(unsafe, a.id)
					mu.Unlock()
				}
				s.log("%s %s %s at %s: %s", a.id, method, path, h.name, a)
			})
		}
	})
	return func() {
		close(done)
		callers.Wait()
		lost := 0
		for _, id := range unsafe {
			lost += s.reached(id)
		}
		s.note("usual requests: %d sent, %d without an answer of a target; %d of the unsafe ones began to run and were lost", sent.Load(), unserved.Load(), lost)
	}
}

// poisonCheck holds the attempts of the caller whose request crashes targets.
type poisonCheck struct {
	stage    *stage
	attempts []answer
}

// send sends the poison request to a host once.
func (c *poisonCheck) send(h *host) answer {
	a := c.stage.send(h, http.MethodGet, poisonPath)
	c.attempts = append(c.attempts, a)
	c.stage.note("poison request %s at %s: %s; it began to run at %d targets", a.id, h.name, a, c.stage.reached(a.id))
	return a
}

// reached returns at how many targets a request began to run.
func (s *stage) reached(id string) int {
	n := 0
	for _, r := range s.allRuns() {
		if r.id == id {
			n++
		}
	}
	return n
}

// verdict counts the attempts that reached targets and were sent later than stabilityS after the third crash.
func (c *poisonCheck) verdict() bool {
	s := c.stage
	crashes := s.crashTimes()
	s.note("%d targets crashed on the poison request", len(crashes))
	if len(crashes) < 3 {
		return false
	}
	returns := 0
	for _, a := range c.attempts {
		if n := s.reached(a.id); n > 0 && a.sentAt.After(crashes[2].Add(stability)) {
			returns++
			s.note("%s, sent %.1f s after the third crash, reached %d targets", a.id, a.sentAt.Sub(crashes[2]).Seconds(), n)
		}
	}
	s.note("%d attempts reached targets later than stabilityS after the third crash; %d may", returns, maxReturns)
	return returns > maxReturns
}
