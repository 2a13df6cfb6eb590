//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeMode is how the store stand-in treats calls.
type storeMode int

const (
	storeUp storeMode = iota
	storeSilent
	storeBusy
)

const (
	storePageSize  = 500
	storeAnswer    = 4 * time.Millisecond // time of an answer, as on the sheet
	storeHistory   = 20 * time.Second
	silentCallTime = 30 * time.Second
)

// item is a key of the store, or an event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
	at       time.Time
}

// store is a stand-in for the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	mode     storeMode
	changed  chan struct{}
	revision int64
	items    map[string]item
	history  []item
	dropped  int64 // the history up to this revision is gone
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	next     int64
	calls    int
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), changed: make(chan struct{}), revision: 1, items: map[string]item{},
		leases: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, next: 1000,
	}
	go func() { _ = http.Serve(l, s) }()
	go s.expireLoop()
	return s, nil
}

func (s *store) setMode(m storeMode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as operators and targets do. It reports whether the store has accepted it.
func (s *store) put(key string, v any) bool {
	data, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	s.write(key, data, 0)
	s.notify()
	return true
}

func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode != storeUp {
		return false
	}
	s.drop(key)
	s.notify()
	return true
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease, at: time.Now()}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true, at: time.Now()})
}

// expireLoop ends leases and forgets old history. While the store is down, leases pause.
func (s *store) expireLoop() {
	const step = 100 * time.Millisecond
	for range time.Tick(step) {
		s.mu.Lock()
		now := time.Now()
		for id, end := range s.leases {
			if s.mode != storeUp {
				s.leases[id] = end.Add(step)
			} else if now.After(end) {
				s.endLease(id)
			}
		}
		for len(s.history) > 0 && now.Sub(s.history[0].at) > storeHistory {
			s.dropped = s.history[0].Revision
			s.history = s.history[1:]
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.drop(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	mode := s.mode
	s.mu.Unlock()
	w.Header().Set("Store-Era", "1")
	switch mode {
	case storeSilent:
		select {
		case <-r.Context().Done():
		case <-time.After(silentCallTime):
		}
		panic(http.ErrAbortHandler)
	case storeBusy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(storeAnswer)
	q, path := r.URL.Query(), r.URL.Path
	switch {
	case path == "/api/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.serveKeep(w, leaseID(path))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(leaseID(path))
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func leaseID(path string) int64 {
	id, _ := strconv.ParseInt(path[strings.LastIndex(path, "/")+1:], 10, 64)
	return id
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	n := min(len(keys), storePageSize)
	items := []item{}
	for _, key := range keys[:n] {
		items = append(items, s.items[key])
	}
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > n, "storeRevision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.mode != storeUp {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.dropped || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			answer(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txn is the body of a transaction.
type txn struct {
	Precondition []struct {
		Key      string
		Revision int64
	}
	SetKeys []struct {
		Key   string
		Value []byte
		Lease int64
	}
	DeleteKeys []string
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, p := range t.Precondition {
		i, ok := s.items[p.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == p.Revision
	}
	if !holds {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, k := range t.SetKeys {
		if _, ok := s.leases[k.Lease]; k.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, k := range t.SetKeys {
		s.write(k.Key, k.Value, k.Lease)
	}
	for _, key := range t.DeleteKeys {
		s.drop(key)
	}
	s.notify()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL float64 `json:"ttlS_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.next
	s.next++
	s.ttls[id] = time.Duration(q.TTL * float64(time.Second))
	s.leases[id] = time.Now().Add(s.ttls[id])
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlS_time": q.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	answer(w, http.StatusOK, map[string]any{"ttlS_time": s.ttls[id].Seconds()})
}
