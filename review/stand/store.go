//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// item is one key of the store, or one event of a watch.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	address string

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	era      int64
	items    map[string]item
	history  []item
	leases   map[int64]time.Time
	ttls     map[int64]time.Duration
	next     int64
	down     bool
}

// storeCopy is what a store held at a moment.
type storeCopy struct {
	revision int64
	items    map[string]item
	history  []item
}

func newStore() (*store, error) {
	s := &store{
		changed: make(chan struct{}), revision: 1, era: 1, items: map[string]item{}, leases: map[int64]time.Time{},
		ttls: map[int64]time.Duration{}, next: 1000,
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// view is a way to the store of its own, with other addresses in the store's values: those of proxies.
type view struct {
	address   string
	store     *store
	addresses map[string]string
	down      atomic.Bool // the store turns away who comes this way
	watches   atomic.Int64
}

// view opens a way to the store.
func (s *store) view(addresses map[string]string) (*view, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &view{address: l.Addr().String(), store: s, addresses: addresses}
	go func() { _ = http.Serve(l, v) }()
	return v, nil
}

// ServeHTTP implements http.Handler.
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if v.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path == "/api/kv-watch" {
		v.watches.Add(1)
	}
	v.store.serve(w, r, v.addresses)
}

func (s *store) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setDown(down bool) { s.update(func() { s.down = down }) }

func (s *store) put(key string, v any) { s.update(func() { s.write(key, encode(v), 0) }) }

func (s *store) remove(key string) { s.update(func() { s.erase(key) }) }

func (s *store) write(key string, value []byte, lease int64) {
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *store) erase(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) copyNow() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return storeCopy{s.revision, maps.Clone(s.items), slices.Clone(s.history)}
}

// restore brings the store back from a copy: leases are gone, revisions and leases are given out again, the era rises by one.
func (s *store) restore(c storeCopy) {
	s.update(func() {
		s.era++
		s.revision, s.items, s.history = c.revision, maps.Clone(c.items), slices.Clone(c.history)
		s.leases, s.ttls, s.next = map[int64]time.Time{}, map[int64]time.Duration{}, 1000
		for key, i := range s.items {
			if i.Lease != 0 {
				delete(s.items, key)
			}
		}
		s.down = false
	})
}

func (s *store) endLease(lease int64) {
	delete(s.leases, lease)
	for key, i := range s.items {
		if i.Lease == lease {
			s.erase(key)
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.serve(w, r, nil) }

func (s *store) serve(w http.ResponseWriter, r *http.Request, addresses map[string]string) {
	s.mu.Lock()
	for lease, end := range s.leases {
		if time.Now().After(end) {
			s.endLease(lease)
		}
	}
	down := s.down
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch path := r.URL.Path; {
	case path == "/api/kv-range":
		s.readRange(w, r, addresses)
	case path == "/api/kv-watch":
		s.watch(w, r, addresses)
	case path == "/api/kv-txn":
		s.txn(w, r)
	case path == "/api/kv-lease":
		s.grant(w, r)
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.keep(w, strings.TrimPrefix(path, "/api/kv-keep/"))
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "/api/kv-lease-end/"), 10, 64)
		s.update(func() { s.endLease(id) })
		reply(w, http.StatusOK, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encode(body))
}

func translate(list []item, addresses map[string]string) []item {
	out := slices.Clone(list)
	for i := range out {
		for from, to := range addresses {
			out[i].Value = bytes.ReplaceAll(out[i].Value, []byte(from), []byte(to))
		}
	}
	return out
}

func (s *store) readRange(w http.ResponseWriter, r *http.Request, addresses map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": translate(items, addresses), "hasMore": false, "storeRevision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, addresses map[string]string) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if first := s.revision - int64(len(s.history)); after < first || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, r.URL.Query().Get("prefix")) {
				events = append(events, e)
			}
		}
		changed, revision := s.changed, s.revision
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": translate(events, addresses), "storeRevision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var q struct {
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
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	status, body := http.StatusOK, map[string]any{}
	s.update(func() {
		current, satisfied := []item{}, true
		for _, p := range q.Precondition {
			i, ok := s.items[p.Key]
			if ok {
				current = append(current, i)
			}
			satisfied = satisfied && i.Revision == p.Revision
		}
		if !satisfied {
			status, body["items"] = http.StatusPreconditionFailed, current
			return
		}
		for _, k := range q.SetKeys {
			if _, ok := s.leases[k.Lease]; k.Lease != 0 && !ok {
				status = http.StatusNotFound
				return
			}
		}
		for _, k := range q.SetKeys {
			s.write(k.Key, k.Value, k.Lease)
		}
		for _, key := range q.DeleteKeys {
			s.erase(key)
		}
		body["revision"] = s.revision
	})
	reply(w, status, body)
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
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
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlS_time": q.TTL})
}

func (s *store) keep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.leases[id] = time.Now().Add(s.ttls[id])
	reply(w, http.StatusOK, map[string]any{"ttlS_time": s.ttls[id].Seconds()})
}
