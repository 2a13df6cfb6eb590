//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["regained-gone"] = goneAfterRegain }

const (
	turnedAway  = 4 * time.Second        // for which the store turns one host away
	readersTime = 3 * time.Second        // for which it is counted which hosts read the store
	pollTime    = 500 * time.Millisecond // between two watches of a host
)

// leavingTimes are the times after the host is served again at which a target leaves, one after the other: the other hosts read through
// it again within a second or so, but the script cannot see when.
var leavingTimes = []time.Duration{1200 * time.Millisecond, 1300 * time.Millisecond, 1200 * time.Millisecond, 1300 * time.Millisecond}

// goneAfterRegain lets the store turn away for a while the host through which the others read it, and takes a target's entry out of the
// store soon after that host is served again, four times. It sends requests to the other hosts, which the store did not turn away.
func goneAfterRegain(s *stage) (bool, error) {
	s.configure(7)
	for i := range 8 {
		if _, err := s.addTarget(fmt.Sprintf("t%d", i+1), 4, 150*time.Millisecond); err != nil {
			return false, err
		}
	}
	var views []*view
	for i := range 4 {
		v, err := s.store.view(nil)
		if err != nil {
			return false, err
		}
		views = append(views, v)
		if _, err := s.addHost(fmt.Sprintf("front-%d", i+1), v.address); err != nil {
			return false, err
		}
	}
	late := 0
	for i, after := range leavingTimes {
		time.Sleep(inTouch)
		late += s.leaveAfterRegain(views, s.targets[i], after)
	}
	for _, text := range []string{"store lost", "store regained", "reader lost"} {
		for _, line := range s.grep(text) {
			s.log("%s", line)
		}
	}
	return late > 0, nil
}

// leaveAfterRegain plays it once, and returns how many requests ran at the target later than drainS after the confirmation.
func (s *stage) leaveAfterRegain(views []*view, gone *target, after time.Duration) int {
	stop := s.traffic(20)
	reader := s.findReader(views)
	stop()
	s.note("%s reads the store for the others", s.hosts[reader].name)
	time.Sleep(300*time.Millisecond + rand.N(pollTime)) // at any moment between two watches
	if s.trouble {
		views[reader].down.Store(true)
		s.note("the store turns %s away", s.hosts[reader].name)
	}
	time.Sleep(turnedAway)
	if s.trouble {
		views[reader].down.Store(false)
		s.note("the store serves %s again", s.hosts[reader].name)
	}
	time.Sleep(after)
	gone.mu.Lock()
	gone.silent, gone.leaving = true, true
	gone.mu.Unlock()
	s.store.remove("servers/" + gone.id)
	confirmed := time.Now()
	s.note("%s leaves: its entry is removed, without a report that it drains; it serves on and says in its answers that it leaves", gone.id)
	time.Sleep(drain + 50*time.Millisecond)
	var callers sync.WaitGroup
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, h := range s.hosts {
			if i == reader {
				continue
			}
			callers.Go(func() {
				a := s.send(h, http.MethodPost, "/write/after")
				s.log("%s POST at %s: %s", a.id, h.name, a)
			})
		}
	}
	callers.Wait()
	return s.lateAtGone(gone, confirmed)
}

// findReader returns the host whose way to the store sees the most watches: the others take its copy.
func (s *stage) findReader(views []*view) int {
	before := make([]int64, len(views))
	for i, v := range views {
		before[i] = v.watches.Load()
	}
	time.Sleep(readersTime)
	reader := 0
	for i, v := range views {
		s.note("%s watched the store %d times in %s", s.hosts[i].name, v.watches.Load()-before[i], readersTime)
		if v.watches.Load()-before[i] > views[reader].watches.Load()-before[reader] {
			reader = i
		}
	}
	return reader
}
