//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	copyAge    = 6 * time.Second // of the copy from which the store comes back
	awayTime   = time.Second     // of the store
	rewriteGap = time.Second     // after its return, in which what was written is written again
)

func init() { cases["restore-gone"] = goneAfterRestore }

// goneAfterRestore takes a target's entry out of the store, restores the store from a copy that still has it, and lets the
// platform take it out again. The target serves on for all that time.
func goneAfterRestore(s *stage) (bool, error) {
	s.configure(7)
	for i := range 6 {
		if _, err := s.addTarget(fmt.Sprintf("t%d", i+1), 4, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := s.addHosts(2); err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	stop := s.traffic(20)
	time.Sleep(3 * time.Second)
	stop()
	time.Sleep(500 * time.Millisecond)

	gone := s.targets[0]
	stored := s.store.copyNow()
	copiedAt := time.Now()
	time.Sleep(500 * time.Millisecond)
	key := "servers/" + gone.id
	gone.mu.Lock()
	gone.silent, gone.leaving = true, true
	gone.mu.Unlock()
	s.store.remove(key)
	confirmed := time.Now()
	s.note("%s leaves: its entry is removed, without a report that it drains; it serves on and says in its answers that it leaves", gone.id)
	time.Sleep(time.Until(copiedAt.Add(copyAge)))
	if s.trouble {
		s.store.setDown(true)
		s.note("the store is away")
		time.Sleep(awayTime)
		s.store.restore(stored)
		s.note("the store is back from a copy %.1f s old, in the next era; it has the entry of %s", time.Since(copiedAt).Seconds(), gone.id)
		s.configure(7)
		time.AfterFunc(rewriteGap, func() {
			s.store.remove(key)
			s.note("the entry of %s is removed again", gone.id)
		})
	} else {
		time.Sleep(awayTime)
	}
	var callers sync.WaitGroup
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		for _, h := range s.hosts {
			callers.Go(func() {
				a := s.send(h, http.MethodPost, "/write/after")
				s.log("%s POST at %s: %s", a.id, h.name, a)
			})
		}
	}
	callers.Wait()
	return s.lateAtGone(gone, confirmed) > 0, nil
}

// lateAtGone returns how many requests ran at a target that is gone, later than drainS after the confirmation of that.
func (s *stage) lateAtGone(gone *target, confirmed time.Time) int {
	late := 0
	for _, r := range s.allRuns() {
		if r.target == gone.id && r.at.After(confirmed.Add(drain)) {
			late++
			s.note("%s ran at %s %.2f s after the confirmation that it is gone", r.id, gone.id, r.at.Sub(confirmed).Seconds())
		}
	}
	s.note("%d requests reached the target later than drainS after the confirmation", late)
	return late
}
