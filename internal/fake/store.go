// Package fake provides fakes of the platform's key-value store and of backend servers, and helpers for tests.
package fake

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Faults configures the failures of a fake store.
type Faults struct {
	Down       bool          // fail every call with status 503 and end the watches
	Delay      time.Duration // time before each call is handled
	LoseAnswer int           // number of transactions to execute without sending the response
	LoseKey    string        // if set, LoseAnswer counts only transactions that write this key
	HoldWatch  bool          // hold watch events back while it is true
}

// record is the current value of a key.
type record struct {
	value          []byte
	createRevision int64
	modRevision    int64
	lease          int64
}

// event is a change of a key.
type event struct {
	key            string
	value          []byte
	createRevision int64
	modRevision    int64
	deleted        bool
}

// Store is a fake of the platform's key-value store, in memory. It implements the part of the JSON gateway of etcd v3
// that hosts use. It is safe for concurrent use.
type Store struct {
	mu            sync.Mutex
	changed       chan struct{} // closed and replaced to wake the watches
	revision      int64
	records       map[string]record
	events        []event // all events, sorted by revision; watches may start at any of them
	expiryByLease map[int64]time.Time
	ttlByLease    map[int64]time.Duration
	faults        Faults
	calls         map[string]int64 // by path
	openWatches   int
	era           int64 // number of restores
}

// Copy is what a fake store held at a moment.
type Copy struct {
	revision int64
	records  map[string]record
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		changed: make(chan struct{}), revision: 1, records: map[string]record{},
		expiryByLease: map[int64]time.Time{}, ttlByLease: map[int64]time.Duration{}, calls: map[string]int64{},
	}
}

// SetFaults replaces the configured failures.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Calls returns the number of calls by path, and the number of open watches.
func (s *Store) Calls() (map[string]int64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]int64{}
	for k, v := range s.calls {
		out[k] = v
	}
	return out, s.openWatches
}

// Values returns the values of all keys with the prefix.
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

// CopyNow returns a copy of what the store holds.
func (s *Store) CopyNow() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{revision: s.revision, records: maps.Clone(s.records)}
}

// Restore replaces what the store holds by a copy. Leases are gone with their keys, and revisions are given out again.
// Writers that come first make otherWrites changes before any host is served.
func (s *Store) Restore(c Copy, otherWrites int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.records, s.events = c.revision, maps.Clone(c.records), nil
	s.expiryByLease, s.ttlByLease = map[int64]time.Time{}, map[int64]time.Duration{}
	for key, r := range s.records {
		if r.lease != 0 {
			delete(s.records, key)
		}
	}
	for range otherWrites {
		s.revision++
		s.put("other", nil, 0)
	}
	s.notifyWatches()
}

func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP handles a call of the gateway.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.calls[r.URL.Path]++
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
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

// dropsResponse reports whether the response to a transaction is to be dropped, and decrements LoseAnswer if so.
func (s *Store) dropsResponse(req txnRequest) bool {
	if s.faults.LoseAnswer == 0 {
		return false
	}
	for _, op := range req.Success {
		if s.faults.LoseKey == "" || (op.Put != nil && string(op.Put.Key) == s.faults.LoseKey) {
			s.faults.LoseAnswer--
			return true
		}
	}
	return false
}

// handle decodes a request, passes it to call and encodes the response. If call returns nil, it closes the connection
// without a response.
func handle[Q any](w http.ResponseWriter, r *http.Request, call func(Q) any) {
	var req Q
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	response := call(req)
	if response == nil {
		panic(http.ErrAbortHandler)
	}
	_ = json.NewEncoder(w).Encode(response)
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

func (s *Store) header() map[string]any {
	return map[string]any{"revision": strconv.FormatInt(s.revision, 10)}
}

func (s *Store) readRange(req rangeRequest) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	return s.rangeLocked(req)
}

func (s *Store) rangeLocked(req rangeRequest) any {
	var kvs []map[string]any
	for key, r := range s.records {
		if key == string(req.Key) || (len(req.RangeEnd) > 0 && key >= string(req.Key) && key < string(req.RangeEnd)) {
			kvs = append(kvs, encodeKV(key, r))
		}
	}
	sort.Slice(kvs, func(i, j int) bool { return string(kvs[i]["key"].([]byte)) < string(kvs[j]["key"].([]byte)) })
	return map[string]any{"header": s.header(), "kvs": kvs}
}

func encodeKV(key string, r record) map[string]any {
	return map[string]any{
		"key": []byte(key), "value": r.value, "create_revision": strconv.FormatInt(r.createRevision, 10),
		"mod_revision": strconv.FormatInt(r.modRevision, 10), "lease": strconv.FormatInt(r.lease, 10),
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
	Range *rangeRequest `json:"request_range"`
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	} `json:"compare"`
	Success []txnOp `json:"success"`
	Failure []txnOp `json:"failure"`
}

func (s *Store) txn(req txnRequest) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	matched := true
	for _, c := range req.Compare {
		matched = matched && s.records[string(c.Key)].modRevision == c.ModRevision
	}
	ops := req.Success
	if !matched {
		ops = req.Failure
	}
	responses := s.apply(ops)
	if s.dropsResponse(req) {
		return nil
	}
	return map[string]any{"header": s.header(), "succeeded": matched, "responses": responses}
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
		s.notifyWatches()
	}
	return responses
}

func (s *Store) put(key string, value []byte, lease int64) {
	createRevision := s.revision
	if old, ok := s.records[key]; ok {
		createRevision = old.createRevision
	}
	s.records[key] = record{value: value, createRevision: createRevision, modRevision: s.revision, lease: lease}
	s.events = append(s.events, event{key: key, value: value, createRevision: createRevision, modRevision: s.revision})
}

func (s *Store) remove(key string) {
	if _, ok := s.records[key]; !ok {
		return
	}
	delete(s.records, key)
	s.events = append(s.events, event{key: key, modRevision: s.revision, deleted: true})
}
