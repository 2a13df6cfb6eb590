//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["regress-relayed"] = regressThroughPeers }

const (
	downgradeSlack = 250 * time.Millisecond // downgradeSlackS
	changes        = 16
	changeGap      = 2500 * time.Millisecond
)

// change is a change of the configuration that moves the route to a service.
type change struct {
	at      time.Time
	service string
}

// configureService writes a configuration whose route leads to the service.
func (s *stage) configureService(version int, service string) {
	s.store.put("op/config", map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "write", "host": "h.example", "prefix": "/write/", "kind": "unsafe", "timeoutS": 2.5, "objectiveS": 0.4, "priority": 1, "service": service, "maxAttempts": 3},
		},
		"services": []map[string]any{
			{"name": "a", "healthPath": "/health", "maxConns": 360, "coldStartS": 3, "coldPerS": 13},
			{"name": "b", "healthPath": "/health", "maxConns": 360, "coldStartS": 3, "coldPerS": 13},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1000000, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"tenants": []map[string]any{{"name": "north", "apiKeys": []string{"secret"}, "ratePerS": 2000, "burst": 2000}},
	})
	s.note("config %d confirmed: the route leads to service %s", version, service)
}

// regressThroughPeers cuts one host off from the targets, so that it has its requests sent by peers in two other regions, and moves the
// route from one service to the other again and again. It looks for requests at that host that run at the old service although an
// earlier one has run at the new one.
func regressThroughPeers(s *stage) (bool, error) {
	s.configureService(7, "a")
	addresses := map[string]string{}
	var paths []*proxy
	for i := range 8 {
		t, err := s.newTarget(fmt.Sprintf("t%d", i+1), 4, 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		t.service = []string{"a", "b"}[i%2]
		if err := t.open(); err != nil {
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
	for i := range 2 {
		s.nextZone, s.nextRegion = fmt.Sprintf("z%d", i+2), fmt.Sprintf("r%d", i+2)
		if _, err := s.addHost(fmt.Sprintf("front-%d", i+2), s.store.address); err != nil {
			return false, err
		}
	}
	time.Sleep(inTouch)
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	stop := make(chan struct{})
	callers.Go(func() {
		for {
			select {
			case <-time.After(15 * time.Millisecond):
			case <-stop:
				return
			}
			callers.Go(func() {
				a := s.send(cutHost, http.MethodPost, "/write/x")
				s.log("%s POST at %s: %s", a.id, cutHost.name, a)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
			})
		}
	})
	time.Sleep(time.Second)
	if s.trouble {
		for _, p := range paths {
			p.cut()
		}
		s.note("%s is cut off from the targets", cutHost.name)
	}
	time.Sleep(inTouch)
	var list []change
	for n := range changes {
		service := []string{"b", "a"}[n%2]
		list = append(list, change{time.Now(), service})
		s.configureService(8+n, service)
		time.Sleep(changeGap)
	}
	close(stop)
	callers.Wait()
	regressed := s.takenBack(list, answers)
	s.note("%d of %d changes were taken back for a time at the host", regressed, changes)
	return regressed > 0, nil
}

// takenBack returns how many changes were followed by requests that ran at the old service, sent later than downgradeSlackS after one
// had run at the new service.
func (s *stage) takenBack(list []change, answers []answer) (count int) {
	ranAt := map[string]run{}
	for _, r := range s.allRuns() {
		ranAt[r.id] = r
	}
	for n, c := range list {
		end := time.Now()
		if n+1 < len(list) {
			end = list[n+1].at
		}
		var old, seen []time.Time
		for _, a := range answers {
			r, ok := ranAt[a.id]
			switch {
			case !ok || a.sentAt.Before(c.at) || !a.sentAt.Before(end):
			case r.service == c.service:
				seen = append(seen, r.at)
			default:
				old = append(old, a.sentAt)
			}
		}
		sortTimes(seen)
		sortTimes(old)
		late := 0
		for _, at := range old {
			if len(seen) > 0 && at.After(seen[0].Add(downgradeSlack)) {
				late++
			}
		}
		if late > 0 {
			count++
			s.note("change %d: %d requests ran at the old service, up to %.2f s after one had run at the new one", n+1, late, old[len(old)-1].Sub(seen[0]).Seconds())
		}
	}
	return count
}
