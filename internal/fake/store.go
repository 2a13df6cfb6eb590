// Package fake holds small stand-ins for the platform's store and for backend servers.
package fake

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults are the failures that the stand-in store shows.
type Faults struct {
	Down       bool          // refuse every call and cut the watches
	Delay      time.Duration // answer late
	LoseAnswer int           // carry out so many transactions and drop the answer
	LoseKey    string        // only of transactions that write this key, when it is set
	HoldWatch  bool          // send no watch events until it is false again
}

type record struct {
	value   []byte
	created int64
	mod     int64
	lease   int64
}

type change struct {
	key     string
	value   []byte
	created int64
	mod     int64
	deleted bool
}

// Store is a stand-in for the platform's store that speaks the JSON gateway of etcd v3.
type Store struct {
	mu       sync.Mutex
	wake     chan struct{}
	revision int64
	records  map[string]record
	log      []change
	leases   map[int64]time.Time
	terms    map[int64]time.Duration
	faults   Faults
	calls    map[string]int64
	waiting  int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		wake: make(chan struct{}), revision: 1, records: map[string]record{},
		leases: map[int64]time.Time{}, terms: map[int64]time.Duration{}, calls: map[string]int64{},
	}
}

// SetFaults replaces the failures that the store shows.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeAll()
}

// Calls returns the number of calls by path, and the number of open watches.
func (s *Store) Calls() (map[string]int64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out, s.waiting
}

// Values returns the values below a prefix, for tests.
func (s *Store) Values(prefix string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string][]byte{}
	for k, r := range s.records {
		if strings.HasPrefix(k, prefix) {
			out[k] = r.value
		}
	}
	return out
}

func (s *Store) wakeAll() {
	close(s.wake)
	s.wake = make(chan struct{})
}

// ServeHTTP answers the gateway's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.calls[r.URL.Path]++
	s.mu.Unlock()
	if faults.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(faults.Delay)
	switch r.URL.Path {
	case "/v3/kv/range":
		handle(w, r, s.readRange)
	case "/v3/kv/txn":
		handle(w, r, s.txn)
	case "/v3/lease/grant":
		handle(w, r, s.grant)
	case "/v3/lease/keepalive":
		handle(w, r, s.keepAlive)
	case "/v3/watch":
		s.watch(w, r)
	default:
		http.NotFound(w, r)
	}
}

// loses tells whether the answer to a transaction gets lost.
func (s *Store) loses(q txnQuery) bool {
	if s.faults.LoseAnswer == 0 {
		return false
	}
	for _, op := range q.Success {
		if s.faults.LoseKey == "" || (op.Put != nil && string(op.Put.Key) == s.faults.LoseKey) {
			s.faults.LoseAnswer--
			return true
		}
	}
	return false
}

func handle[Q any](w http.ResponseWriter, r *http.Request, f func(Q) any) {
	var request Q
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	answer := f(request)
	if answer == nil {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(answer)
}

type rangeQuery struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

func (s *Store) head() map[string]any {
	return map[string]any{"revision": strconv.FormatInt(s.revision, 10)}
}

func (s *Store) readRange(q rangeQuery) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	return s.rangeLocked(q)
}

func (s *Store) rangeLocked(q rangeQuery) any {
	var kvs []map[string]any
	for key, r := range s.records {
		if key == string(q.Key) || (len(q.RangeEnd) > 0 && key >= string(q.Key) && key < string(q.RangeEnd)) {
			kvs = append(kvs, kvOf(key, r))
		}
	}
	sort.Slice(kvs, func(i, j int) bool { return string(kvs[i]["key"].([]byte)) < string(kvs[j]["key"].([]byte)) })
	return map[string]any{"header": s.head(), "kvs": kvs}
}

func kvOf(key string, r record) map[string]any {
	return map[string]any{
		"key": []byte(key), "value": r.value, "create_revision": strconv.FormatInt(r.created, 10),
		"mod_revision": strconv.FormatInt(r.mod, 10), "lease": strconv.FormatInt(r.lease, 10),
	}
}

type txnOp struct {
	Put *struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string"`
	} `json:"request_put"`
	Delete *struct {
		Key []byte `json:"key"`
	} `json:"request_delete_range"`
	Range *rangeQuery `json:"request_range"`
}

type txnQuery struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []txnOp `json:"success"`
	Failure []txnOp `json:"failure"`
}

func (s *Store) txn(q txnQuery) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	ok := true
	for _, c := range q.Compare {
		ok = ok && s.records[string(c.Key)].mod == c.ModRevision
	}
	ops := q.Success
	if !ok {
		ops = q.Failure
	}
	responses := s.apply(ops)
	if s.loses(q) {
		return nil
	}
	return map[string]any{"header": s.head(), "succeeded": ok, "responses": responses}
}

func (s *Store) apply(ops []txnOp) []any {
	writes := false
	for _, op := range ops {
		writes = writes || op.Put != nil || op.Delete != nil
	}
	if writes {
		s.revision++
	}
	var responses []any
	for _, op := range ops {
		switch {
		case op.Put != nil:
			s.put(string(op.Put.Key), op.Put.Value, op.Put.Lease)
			responses = append(responses, map[string]any{"response_put": map[string]any{}})
		case op.Delete != nil:
			s.remove(string(op.Delete.Key))
			responses = append(responses, map[string]any{"response_delete_range": map[string]any{}})
		case op.Range != nil:
			responses = append(responses, map[string]any{"response_range": s.rangeLocked(*op.Range)})
		}
	}
	if writes {
		s.wakeAll()
	}
	return responses
}

func (s *Store) put(key string, value []byte, lease int64) {
	created := s.revision
	if old, ok := s.records[key]; ok {
		created = old.created
	}
	s.records[key] = record{value: value, created: created, mod: s.revision, lease: lease}
	s.log = append(s.log, change{key: key, value: value, created: created, mod: s.revision})
}

func (s *Store) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.log = append(s.log, change{key: key, mod: s.revision, deleted: true})
}

// expire removes the keys of lapsed leases.
func (s *Store) expire() {
	now := time.Now()
	for id, deadline := range s.leases {
		if now.Before(deadline) {
			continue
		}
		delete(s.leases, id)
		s.revision++
		for key, r := range s.records {
			if r.lease == id {
				s.remove(key)
			}
		}
		s.wakeAll()
	}
}

// Lapse ends every lease at once.
func (s *Store) Lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.leases[id] = time.Time{}
	}
	s.expire()
}

func (s *Store) grant(q struct {
	TTL int64 `json:"TTL,string"`
},
) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.revision*1000 + int64(len(s.leases)) + 1
	s.terms[id] = time.Duration(q.TTL) * time.Second
	s.leases[id] = time.Now().Add(s.terms[id])
	return map[string]any{"ID": strconv.FormatInt(id, 10), "TTL": strconv.FormatInt(q.TTL, 10)}
}

func (s *Store) keepAlive(q struct {
	ID int64 `json:"ID,string"`
},
) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	ttl := int64(0)
	if _, ok := s.leases[q.ID]; ok {
		s.leases[q.ID] = time.Now().Add(s.terms[q.ID])
		ttl = int64(s.terms[q.ID] / time.Second)
	}
	return map[string]any{"result": map[string]any{"ID": strconv.FormatInt(q.ID, 10), "TTL": strconv.FormatInt(ttl, 10)}}
}

type watchQuery struct {
	Create struct {
		Key           []byte `json:"key"`
		RangeEnd      []byte `json:"range_end"`
		StartRevision int64  `json:"start_revision,string"`
	} `json:"create_request"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	var q watchQuery
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	next := q.Create.StartRevision
	encoder := json.NewEncoder(w)
	send := func(result map[string]any) {
		_ = encoder.Encode(map[string]any{"result": result})
		w.(http.Flusher).Flush()
	}
	send(map[string]any{"header": map[string]any{"revision": "0"}, "created": true})
	for {
		s.mu.Lock()
		wake, down := s.wake, s.faults.Down
		events, to := s.eventsFrom(q, next)
		s.mu.Unlock()
		if down {
			return
		}
		if len(events) > 0 {
			send(map[string]any{"header": map[string]any{"revision": strconv.FormatInt(to, 10)}, "events": events})
			next = to + 1
		}
		select {
		case <-wake:
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsFrom(q watchQuery, next int64) ([]any, int64) {
	if s.faults.HoldWatch {
		return nil, 0
	}
	var events []any
	start := sort.Search(len(s.log), func(i int) bool { return s.log[i].mod >= next })
	for _, c := range s.log[start:] {
		if c.key < string(q.Create.Key) || c.key >= string(q.Create.RangeEnd) {
			continue
		}
		event := map[string]any{"kv": kvOf(c.key, record{value: c.value, created: c.created, mod: c.mod})}
		if c.deleted {
			event["type"] = "DELETE"
		}
		events = append(events, event)
	}
	return events, s.revision
}
