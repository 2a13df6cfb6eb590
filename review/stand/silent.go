//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	coldTime  = 3 * time.Second // coldStartS
	coldPerS  = 13.0            // coldPerS of the service
	coldBound = coldPerS*1.5 + 5
	// A sixth more targets are added; scale_out adds up to 0.3 on the site's days.
	initialTargets = 6
	addedTargets   = 1
	// coldCrash is the number of requests in one second at which a cold target crashes.
	coldCrash = 3 * coldPerS
)

func init() { cases["silent-cold"] = coldAfterSilence }

// coldAfterSilence lets all open connections between the hosts go silent for good, while new ones work, waits until the hosts are
// in touch again, and adds an empty target as a planned scale-out does.
func coldAfterSilence(s *stage) (bool, error) {
	s.configure(7)
	for i := range initialTargets {
		if _, err := s.addTarget(fmt.Sprintf("t%d", i+1), 4, 100*time.Millisecond); err != nil {
			return false, err
		}
	}
	// The hosts reach each other through proxies: they see the store with the proxies' addresses in place of their own.
	links := map[string]string{}
	view, err := s.store.view(links)
	if err != nil {
		return false, err
	}
	var ways []*proxy
	var hosts []*host
	for i := range 10 {
		h, err := s.newHost(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return false, err
		}
		way, err := newProxy(h.link, 0)
		if err != nil {
			return false, err
		}
		hosts, ways, links[h.link] = append(hosts, h), append(ways, way), way.address
	}
	for _, h := range hosts {
		if err := s.launch(h, view.address); err != nil {
			return false, err
		}
	}
	time.Sleep(inTouch)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	sentAt := map[string]time.Time{}
	for i, h := range s.hosts {
		callers.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-time.After(30 * time.Millisecond):
				case <-stop:
					return
				}
				method, path := http.MethodGet, fmt.Sprintf("/read/%d-%d", i, n)
				if n%2 == 0 {
					method, path = http.MethodPost, fmt.Sprintf("/write/%d-%d", i, n)
				}
				callers.Go(func() {
					a := s.send(h, method, path)
					s.log("%s %s at %s: %s", a.id, method, h.name, a)
					mu.Lock()
					sentAt[a.id] = a.sentAt
					mu.Unlock()
				})
			}
		})
	}
	time.Sleep(2 * time.Second)
	if s.trouble {
		for _, way := range ways {
			way.silence()
		}
		s.note("all open connections between the hosts are silent from now on; new ones work")
	}
	s.note("the directory of %s names %d hosts", s.hosts[0].name, s.named(s.hosts[0]))
	time.Sleep(15 * time.Second)
	s.note("the directory of %s names %d hosts", s.hosts[0].name, s.named(s.hosts[0]))
	var added []*target
	for i := range addedTargets {
		t, err := s.newTarget(fmt.Sprintf("new%d", i+1), 4, 100*time.Millisecond)
		if err != nil {
			return false, err
		}
		t.coldUntil = time.Now().Add(coldTime)
		added = append(added, t)
		if err := t.open(); err != nil {
			return false, err
		}
		s.note("%s starts, cold for %s", t.id, coldTime)
		time.Sleep(5 * time.Second)
	}
	close(stop)
	callers.Wait()
	broken := false
	for _, t := range added {
		most := t.mostPerSecond(sentAt)
		s.note("%s, cold: %d requests in one second at most; %.1f may", t.name, most, coldBound)
		broken = broken || float64(most) > coldBound
	}
	lost := 0
	for _, r := range s.allRuns() {
		if r.method == http.MethodPost && !r.ended {
			lost++
		}
	}
	s.note("%d crashes of cold targets; %d unsafe requests were at work there and are lost", len(s.crashTimes()), lost)
	return broken, nil
}

// named returns how many hosts the directory of a host names.
func (s *stage) named(h *host) int {
	response, err := s.client.Get("http://" + h.directory + "/api/resolve?name=h.example&region=r1&zone=z1")
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	var directory struct{ Addresses []string }
	_ = json.NewDecoder(response.Body).Decode(&directory)
	return len(directory.Addresses)
}

// mostPerSecond returns the most requests that were sent and reached the target within one second, while it was cold.
func (t *target) mostPerSecond(sentAt map[string]time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	most := 0
	for _, a := range t.arrived {
		start, n := sentAt[a.id], 0
		for _, other := range t.arrived {
			if !sentAt[other.id].Before(start) && other.at.Sub(start) < time.Second && other.at.Before(t.coldUntil) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
