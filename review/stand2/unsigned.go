//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	unsafeSent   = 1500                   // unsafe requests sent during the cut
	unsafeGap    = 6 * time.Millisecond   // between two of them: the cut lasts for 9 s to 11 s
	unsafeFailed = 250                    // one unsafe request in so many is answered with 500 by the target that has run it
	unsafeWork   = 100 * time.Millisecond // of the targets for a request
	maxCut       = 12 * time.Second
)

// playUnsigned: one machine is partitioned from the targets and sends its requests through other machines of the system. Targets answer
// some unsafe requests, which they have run, with a 500 of their own.
func playUnsigned(p *play) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	s.put("op/config", config(7, []route{{"r-write", "/write/", "unsafe", "svc", 2, 2, false}}))
	var mu sync.Mutex
	runs := map[string][]string{}
	addresses := map[string]string{}
	var links []*cuttable
	for i := range 12 {
		t, err := newTarget(s, fmt.Sprintf("i-%02d", i), "svc", zones[i%len(zones)], unsafeWork)
		if err != nil {
			return false, err
		}
		t.record = func(t *target, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			id := r.Header.Get("X-Request-Id")
			runs[id] = append(runs[id], t.id)
		}
		t.handle = answerFailed
		link, err := newCuttable(t.address)
		if err != nil {
			return false, err
		}
		addresses[t.address] = link.address
		links = append(links, link)
	}
	v, err := newView(s, addresses)
	if err != nil {
		return false, err
	}
	var edges []*edge
	for i, address := range []string{v.listener.Addr().String(), s.address, s.address} {
		e, err := newEdge(p.dir, fmt.Sprintf("front-%s-1", zones[i]), zones[i], address, nil)
		if err != nil {
			return false, err
		}
		if err := e.start(); err != nil {
			return false, err
		}
		edges = append(edges, e)
	}
	for _, e := range edges {
		if err := e.awaitReady(); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second) // stabilityS
	if p.trouble {
		for _, link := range links {
			link.cut()
		}
		p.say("%s is partitioned from the targets", edges[0].name)
	}
	began := time.Now()
	statuses := map[int]int{}
	var wg sync.WaitGroup
	for n := range unsafeSent {
		wg.Go(func() {
			path := fmt.Sprintf("/write/%d", n)
			if n%unsafeFailed == unsafeFailed-1 {
				path += "/fails"
			}
			r := send(edges[0].front, http.MethodPost, path, "content", 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			statuses[r.status]++
			p.say("%s POST %s: %d, run by %v", r.id, path, r.status, runs[r.id])
			if len(runs[r.id]) > 0 && r.status == http.StatusServiceUnavailable {
				p.say("REFUSED: %s was answered 503 and has run", r.id)
			}
		})
		time.Sleep(unsafeGap)
	}
	wg.Wait()
	lasted := time.Since(began)
	p.say("the cut has lasted for %v", lasted.Round(time.Millisecond))
	if lasted > maxCut {
		return false, fmt.Errorf("the machine is too slow: the cut has lasted for %v", lasted)
	}
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for id, list := range runs {
		if len(list) > 1 {
			twice++
			p.say("TWICE: %s was run by %v", id, list)
		}
	}
	p.say("%d unsafe requests, answers by status %v, %d run more than once", unsafeSent, statuses, twice)
	return twice == 0, nil
}

// answerFailed answers requests whose path says so with a 500 of the target, after it has run them.
func answerFailed(w http.ResponseWriter, r *http.Request, _ []byte) bool {
	if !strings.HasSuffix(r.URL.Path, "/fails") {
		return false
	}
	time.Sleep(unsafeWork)
	http.Error(w, "internal error", http.StatusInternalServerError)
	return true
}
