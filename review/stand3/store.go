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

type storeItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// storeCopy is what a store held at a moment.
type storeCopy struct {
	revision int64
	items    map[string]storeItem
	history  []storeItem
}

// store is a stand-in of the platform's metadata store.
type store struct {
	address string

	mu        sync.Mutex
	changed   chan struct{}
	revision  int64
	items     map[string]storeItem
	history   []storeItem
	expiry    map[int64]time.Time
	ttls      map[int64]time.Duration
	nextLease int64
	era       int64
	status    int // of all answers if above 0
	// before is called with each request, outside of the lock; it returns false if it has answered. May be nil.
	before func(w http.ResponseWriter, r *http.Request) bool
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: l.Addr().String(), changed: make(chan struct{}), revision: 1, items: map[string]storeItem{},
		expiry: map[int64]time.Time{}, ttls: map[int64]time.Duration{}, nextLease: 1000, era: 1,
	}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, v any) {
	value, ok := v.([]byte)
	if !ok {
		value, _ = json.Marshal(v)
	}
	s.update(func() { s.write(key, value, 0) })
}

func (s *store) remove(key string) { s.update(func() { s.deleteItem(key) }) }

func (s *store) get(key string) (storeItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := storeCopy{revision: s.revision, items: map[string]storeItem{}, history: append([]storeItem{}, s.history...)}
	for k, i := range s.items {
		c.items[k] = i
	}
	return c
}

// restore replaces what the store holds by a copy. Leases are gone, and the era rises.
func (s *store) restore(c storeCopy) {
	s.update(func() {
		s.era++
		s.revision, s.history, s.items = c.revision, append([]storeItem{}, c.history...), map[string]storeItem{}
		for k, i := range c.items {
			if i.Lease == 0 {
				s.items[k] = i
			}
		}
		s.expiry, s.ttls, s.nextLease = map[int64]time.Time{}, map[int64]time.Duration{}, 1000
	})
}

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	i := storeItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) deleteItem(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, storeItem{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) expire() {
	for lease, until := range s.expiry {
		if time.Now().After(until) {
			s.endLease(lease)
		}
	}
}

func (s *store) endLease(lease int64) {
	delete(s.expiry, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			s.deleteItem(key)
		}
	}
	s.notify()
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	status, before := s.status, s.before
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if before != nil && !before(w, r) {
		return
	}
	if status > 0 {
		w.WriteHeader(status)
		return
	}
	path := r.URL.Path
	switch {
	case path == "/api/kv-range":
		s.readRange(w, r)
	case path == "/api/kv-watch":
		s.watch(w, r)
	case path == "/api/kv-txn":
		s.txn(w, r)
	case path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.update(func() { s.endLease(id) })
	default:
		http.NotFound(w, r)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const pageSize = 500

func (s *store) readRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []storeItem{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": len(keys) > pageSize, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if first := s.revision - int64(len(s.history)); after < first || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []storeItem{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
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

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var q txnBody
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := s.apply(q)
	writeJSON(w, status, body)
}

// apply applies a transaction and returns its answer.
func (s *store) apply(q txnBody) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, satisfied := []storeItem{}, true
	for _, p := range q.Precondition {
		i, ok := s.items[p.Key]
		if ok {
			current = append(current, i)
		}
		satisfied = satisfied && i.Revision == p.Revision
	}
	if !satisfied {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, k := range q.SetKeys {
		if _, ok := s.expiry[k.Lease]; k.Lease != 0 && !ok {
			return http.StatusNotFound, map[string]any{}
		}
	}
	for _, k := range q.SetKeys {
		s.write(k.Key, k.Value, k.Lease)
	}
	for _, key := range q.DeleteKeys {
		s.deleteItem(key)
	}
	s.notify()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL float64 `json:"ttlS_time"`
	}
	_ = json.NewDecoder(r.Body).Decode(&q)
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.nextLease
	s.nextLease++
	s.ttls[id] = time.Duration(q.TTL * float64(time.Second))
	s.expiry[id] = time.Now().Add(s.ttls[id])
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlS_time": q.TTL})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.expiry[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.expiry[id] = time.Now().Add(s.ttls[id])
	writeJSON(w, http.StatusOK, map[string]any{"ttlS_time": s.ttls[id].Seconds()})
}
