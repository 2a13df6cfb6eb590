//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	beatInterval = 1500 * time.Millisecond // heartbeatS
	slots        = 6
)

// target is a stand-in for a target, which registers itself and signs its answers.
type target struct {
	id, service, zone, address string
	work                       time.Duration
	server                     *http.Server
	handle                     func(w http.ResponseWriter, r *http.Request, body []byte) bool // nil or the special treatment of a request, true if it was answered

	mu       sync.Mutex
	born     int64
	seq      int
	state    string
	leaving  bool
	ended    bool
	running  int
	record   func(t *target, r *http.Request)
	registry *store
}

func newTarget(s *store, id, service, zone string, work time.Duration) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, zone: zone, address: l.Addr().String(), work: work, born: time.Now().Add(-time.Hour).UnixMilli(), state: "ready", registry: s}
	t.server = &http.Server{Handler: t}
	go func() { _ = t.server.Serve(l) }()
	t.beat()
	go t.beatLoop()
	return t, nil
}

func (t *target) beatLoop() {
	for range time.Tick(beatInterval) {
		t.mu.Lock()
		ended := t.ended
		t.mu.Unlock()
		if ended {
			return
		}
		t.beat()
	}
}

// beat registers the target, if the store is up.
func (t *target) beat() bool {
	t.mu.Lock()
	t.seq++
	entry := map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": slots, "state": t.state, "coldLeftS": 0,
		"seq": t.seq, "born": t.born,
	}
	t.mu.Unlock()
	return t.registry.put("servers/"+t.id, entry)
}

// leave makes the target say in its answers that it leaves, and report that it drains.
func (t *target) leave() {
	t.mu.Lock()
	t.leaving, t.state = true, "draining"
	t.mu.Unlock()
	t.beat()
}

// end closes the target: what it is at work on is lost.
func (t *target) end() {
	t.mu.Lock()
	t.ended = true
	t.mu.Unlock()
	_ = t.server.Close()
	t.registry.remove("servers/" + t.id)
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", t.id)
	h.Set("Keep-Alive", "timeout=10")
	if id := r.Header.Get("X-Request-Id"); id != "" {
		h.Set("X-Request-Id", id)
	}
	t.mu.Lock()
	leaving, running := t.leaving, t.running
	t.mu.Unlock()
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != t.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if running >= 3*slots {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}()
	if t.record != nil {
		t.record(t, r)
	}
	if t.handle != nil && t.handle(w, r, body) {
		return
	}
	time.Sleep(t.work)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", min(running, slots), max(0, running-slots), slots))
	h.Set("X-Response-Signature", "signed-by-"+t.id)
	_, _ = fmt.Fprintf(w, "%s %s of %d bytes by %s\n", r.Method, r.RequestURI, len(body), t.id)
}
