//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jayshift/internal/fake"
)

// maxQueue is the number of requests that a target lets wait; beyond it, it turns requests away.
const maxQueue = 18

// run is one request that a target began to work on.
type run struct {
	id, method, path, target string
	service                  string
	at                       time.Time
	ended                    bool // it ran to its end
	direct                   bool // it came over the way of a host that has one of its own
}

// arrival is a request that reached a target, whether it ran or not.
type arrival struct {
	id string
	at time.Time
}

// target is a stand-in of a backend server.
type target struct {
	stage   *stage
	name    string // of the machine; each start has an id of its own
	address string
	zone    string
	service string
	slots   int
	runTime time.Duration
	// crashes reports whether a request crashes the target that begins to run it.
	crashes func(r *http.Request) bool
	// downTime is how long the target is away after a crash.
	downTime  time.Duration
	coldUntil time.Time // it crashes before that on coldCrash requests in one second
	// respond writes the answer of a run; nil for a short one.
	respond func(w http.ResponseWriter, r *http.Request)

	slot    chan struct{}
	waiting atomic.Int64

	mu       sync.Mutex
	id       string
	boot     int
	born     int64
	seq      int
	state    string // ready or draining
	silent   bool   // does not register
	leaving  bool   // says so in all answers
	listener net.Listener
	conns    map[net.Conn]bool
	runs     []*run
	arrived  []arrival // requests other than health probes and those for another target
	crashed  []time.Time
	stopped  bool
}

// addTarget starts a target.
func (s *stage) addTarget(name string, slots int, runTime time.Duration) (*target, error) {
	t, err := s.newTarget(name, slots, runTime)
	if err != nil {
		return nil, err
	}
	return t, t.open()
}

// newTarget returns a target with an address, which does not run yet.
func (s *stage) newTarget(name string, slots int, runTime time.Duration) (*target, error) {
	address, err := fake.FreeAddress()
	if err != nil {
		return nil, err
	}
	return &target{
		stage: s, name: name, zone: "z1", service: "a", slots: slots, runTime: runTime, state: "ready", conns: map[net.Conn]bool{}, downTime: 3 * time.Second,
		address: address,
	}, nil
}

// open starts the first boot of the target.
func (t *target) open() error {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		return err
	}
	t.stage.mu.Lock()
	t.stage.targets = append(t.stage.targets, t)
	t.stage.mu.Unlock()
	t.serve(l)
	go t.registerLoop()
	return nil
}

// serve starts a boot of the target.
func (t *target) serve(l net.Listener) {
	t.mu.Lock()
	t.boot++
	t.id, t.born, t.seq = fmt.Sprintf("i-%s-%d", t.name, t.boot), time.Now().UnixMilli(), 0
	t.slot = make(chan struct{}, t.slots)
	t.listener, t.conns = l, map[net.Conn]bool{}
	t.mu.Unlock()
	server := &http.Server{Handler: t, ConnState: t.track}
	go func() { _ = server.Serve(l) }()
	t.register()
}

func (t *target) track(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		t.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
	}
}

func (t *target) registerLoop() {
	for {
		time.Sleep(heartbeat)
		t.mu.Lock()
		stopped := t.stopped
		t.mu.Unlock()
		if stopped {
			return
		}
		t.register()
	}
}

// register writes the target's entry, unless it is down or silent.
func (t *target) register() {
	t.mu.Lock()
	if t.silent || t.listener == nil || t.stopped {
		t.mu.Unlock()
		return
	}
	t.seq++
	key := "servers/" + t.id
	entry := map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": t.slots, "state": t.state, "coldLeftS": max(0, time.Until(t.coldUntil).Seconds()),
		"seq": t.seq, "born": t.born,
	}
	t.mu.Unlock()
	t.stage.store.update(func() {
		if !t.stage.store.down {
			t.stage.store.write(key, encode(entry), 0)
		}
	})
}

// crash resets all connections and lets the target come back after downTime, as a new boot. The entry of the boot that has
// crashed is removed after three intervals of silence.
func (t *target) crash() {
	t.mu.Lock()
	if t.listener == nil || t.stopped {
		t.mu.Unlock()
		return
	}
	old := "servers/" + t.id
	t.crashed = append(t.crashed, time.Now())
	t.reset()
	t.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() { t.stage.store.remove(old) })
	time.AfterFunc(t.downTime, func() {
		l, err := net.Listen("tcp", t.address)
		if err != nil {
			return
		}
		t.serve(l)
		t.stage.log("%s is back as %s", t.name, t.id)
	})
}

// reset closes the listener and all connections. The caller holds mu.
func (t *target) reset() {
	_ = t.listener.Close()
	t.listener = nil
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (t *target) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopped = true
	if t.listener != nil {
		t.reset()
	}
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.mu.Lock()
	id, leaving, slot, boot := t.id, t.leaving, t.slot, t.boot
	t.mu.Unlock()
	h := w.Header()
	if requestID := r.Header.Get("X-Request-Id"); requestID != "" {
		h.Set("X-Request-Id", requestID)
	}
	h.Set("X-Instance-Id", id)
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path != "/health" {
		t.mu.Lock()
		t.arrived = append(t.arrived, arrival{r.Header.Get("X-Request-Id"), time.Now()})
		t.mu.Unlock()
	}
	if t.waiting.Add(1) > int64(t.slots+maxQueue) {
		t.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.waiting.Add(-1)
	select {
	case slot <- struct{}{}:
		defer func() { <-slot }()
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", len(slot), max(0, int(t.waiting.Load())-len(slot)), t.slots))
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	entry := &run{id: r.Header.Get("X-Request-Id"), method: r.Method, path: r.URL.Path, target: id, service: t.service, at: time.Now(), direct: strings.HasPrefix(r.RemoteAddr, proxyIP)}
	t.mu.Lock()
	if t.boot != boot || t.listener == nil && !t.leaving {
		t.mu.Unlock()
		return // the process has ended meanwhile
	}
	t.runs = append(t.runs, entry)
	t.mu.Unlock()
	t.stage.log("%s runs %s %s %s", id, entry.id, r.Method, r.URL.Path)
	if t.isOverheated(entry.at) || t.crashes != nil && t.crashes(r) {
		t.stage.log("%s crashes on %s", id, entry.id)
		t.crash()
		return
	}
	select {
	case <-time.After(t.runTime):
	case <-r.Context().Done():
		return // it drops a request when its connection closes
	}
	t.mu.Lock()
	entry.ended = true
	t.mu.Unlock()
	h.Set("X-Response-Signature", "sig."+id+"."+entry.id)
	if t.respond != nil {
		t.respond(w, r)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, strings.ToUpper(string(body)))
}

// isOverheated reports whether the target is cold and got coldCrash requests in the last second.
func (t *target) isOverheated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !now.Before(t.coldUntil) {
		return false
	}
	n := 0.0
	for _, a := range t.arrived {
		if now.Sub(a.at) < time.Second {
			n++
		}
	}
	return n > coldCrash
}

// allRuns returns the runs at all targets.
func (s *stage) allRuns() []run {
	var list []run
	for _, t := range s.targets {
		t.mu.Lock()
		for _, r := range t.runs {
			list = append(list, *r)
		}
		t.mu.Unlock()
	}
	return list
}

// crashTimes returns when targets have crashed, the first one first.
func (s *stage) crashTimes() []time.Time {
	var list []time.Time
	for _, t := range s.targets {
		t.mu.Lock()
		list = append(list, t.crashed...)
		t.mu.Unlock()
	}
	sortTimes(list)
	return list
}
