//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["leave-relayed"] = leavingThroughPeer }

// leavingThroughPeer cuts one host off from the targets, so that it has its requests sent by a peer, and lets a target leave
// while the store is down, so that only its answers say so. The cut ends later than drainS after such an answer.
func leavingThroughPeer(s *stage) (bool, error) {
	s.configure(7)
	addresses := map[string]string{}
	var paths []*proxy
	for i := range 6 {
		t, err := s.addTarget(fmt.Sprintf("t%d", i+1), 4, 60*time.Millisecond)
		if err != nil {
			return false, err
		}
		p, err := newProxy(t.address, 0)
		if err != nil {
			return false, err
		}
		paths, addresses[t.address] = append(paths, p), p.address
	}
	view, err := s.store.view(addresses)
	if err != nil {
		return false, err
	}
	cutHost, err := s.addHost("front-1", view.address)
	if err != nil {
		return false, err
	}
	// The other host stands in another region: each reads the store itself, so that each keeps the addresses that it was told.
	s.nextZone, s.nextRegion = "z2", "r2"
	if _, err := s.addHost("front-2", s.store.address); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	stop := make(chan struct{})
	callers.Go(func() {
		for {
			select {
			case <-time.After(20 * time.Millisecond):
			case <-stop:
				return
			}
			callers.Go(func() {
				a := s.send(cutHost, http.MethodPost, "/write/x")
				s.log("%s POST at %s: %s, leaving %v", a.id, cutHost.name, a, a.leaving)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
	})
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, p := range paths {
			p.cut()
		}
		s.note("%s is cut off from the targets", cutHost.name)
	}
	time.Sleep(1500 * time.Millisecond)
	s.store.setDown(true)
	s.note("the store is down")
	gone := s.targets[0]
	gone.mu.Lock()
	gone.silent, gone.leaving = true, true
	gone.mu.Unlock()
	s.note("%s leaves: it says so in all its answers; it cannot report it to the store, and serves on", gone.id)
	time.Sleep(5 * time.Second)
	if s.trouble {
		for _, p := range paths {
			if err := p.heal(); err != nil {
				return false, err
			}
		}
		s.note("the cut has ended")
	}
	time.Sleep(3 * time.Second)
	close(stop)
	callers.Wait()
	s.store.setDown(false)
	return s.lateAtLeaving(gone, answers), nil
}

// lateAtLeaving reports whether a request reached the target from the host that had passed on an answer in which the target says
// that it leaves, and was sent later than drainS after that.
func (s *stage) lateAtLeaving(gone *target, answers []answer) bool {
	var first time.Time
	sentAt := map[string]time.Time{}
	for _, a := range answers {
		sentAt[a.id] = a.sentAt
		if a.leaving && (first.IsZero() || a.endedAt.Before(first)) {
			first = a.endedAt
		}
	}
	if first.IsZero() {
		s.note("no answer said that the target leaves")
		return false
	}
	late := 0
	for _, r := range s.allRuns() {
		if at := sentAt[r.id]; r.target == gone.id && r.direct && at.After(first.Add(drain)) {
			late++
			s.note("%s, sent %.1f s after the host had passed on that %s leaves, ran there", r.id, at.Sub(first).Seconds(), gone.id)
		}
	}
	s.note("%d requests reached the target that were sent later than drainS after that answer", late)
	return late > 0
}
