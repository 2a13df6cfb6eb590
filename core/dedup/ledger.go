// Package dedup records the runs of requests with an idempotency key, so that each of them runs at most once.
package dedup

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount           = 32
	maxRecordsPerShard   = 8192
	maxBodyBytesPerShard = 1 << 20 // response bodies stored in each shard
)

// Key identifies a request: its team, its service and the idempotency key that the caller chose.
type Key string

// Owner identifies the run that created a record.
type Owner string

// State is the state of a run.
type State string

// States of a run. Start returns Fresh and Full, which are never stored in a record.
const (
	Fresh   State = "fresh"   // no earlier run is recorded; the new run has been recorded
	Running State = "running" // a run has started and has no outcome yet
	Done    State = "done"    // a run ended and its outcome is recorded
	Unknown State = "unknown" // a run was started and its outcome cannot be determined
	Full    State = "full"    // the shard is full or the ledger is closed; nothing was recorded
)

// Outcome is the HTTP response of a run.
type Outcome struct {
	Status    int
	Header    map[string]string
	Body      []byte
	Truncated bool // the body was too large and was not stored
}

// Record is the ledger's entry for one key.
type Record struct {
	State     State
	Owner     Owner
	Outcome   Outcome
	expiresAt time.Time
}

// Ledger stores the run records of one host in memory. It is divided into shards with a lock each.
type Ledger struct {
	retention time.Duration
	closed    atomic.Bool
	shards    [shardCount]shard
}

type shard struct {
	mu        sync.Mutex
	records   map[Key]*Record
	bodyBytes int // total size of the stored response bodies
	sweptAt   time.Time
}

// New returns an empty ledger that keeps each record for the retention time after its last change.
func New(retention time.Duration) *Ledger {
	l := &Ledger{retention: retention}
	for i := range l.shards {
		l.shards[i].records = map[Key]*Record{}
	}
	return l
}

func (l *Ledger) shard(k Key) *shard { return &l.shards[xxhash.Sum64String(string(k))%shardCount] }

// Start records a run and returns a record in state Fresh, or returns the record of an earlier run of the key.
// It returns Fresh again when the same owner repeats the call while its run is in progress, and Full when nothing
// could be recorded.
func (l *Ledger) Start(now time.Time, k Key, owner Owner) Record {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if r, ok := s.records[k]; ok && now.Before(r.expiresAt) {
		if r.Owner == owner && r.State == Running {
			return Record{State: Fresh, Owner: owner}
		}
		return *r
	}
	if len(s.records) >= maxRecordsPerShard || l.closed.Load() {
		return Record{State: Full}
	}
	if old, ok := s.records[k]; ok {
		s.bodyBytes -= len(old.Outcome.Body)
	}
	s.records[k] = &Record{State: Running, Owner: owner, expiresAt: now.Add(l.retention)}
	return Record{State: Fresh, Owner: owner}
}

// Finish records the final state and outcome of the owner's run. It does nothing when the owner has no run in progress.
// A body that would exceed the shard's limit of stored bytes is dropped and the outcome is marked as truncated.
func (l *Ledger) Finish(now time.Time, k Key, owner Owner, state State, outcome Outcome) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[k]
	if !ok || r.Owner != owner || r.State != Running {
		return
	}
	if s.bodyBytes+len(outcome.Body) > maxBodyBytesPerShard {
		outcome.Body, outcome.Truncated = nil, true
	}
	s.bodyBytes += len(outcome.Body)
	r.State = state
	r.Outcome = outcome
	r.expiresAt = now.Add(l.retention)
}

// Cancel removes the record of the owner's run. The caller must be certain that the request was not run.
func (l *Ledger) Cancel(k Key, owner Owner) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[k]; ok && r.Owner == owner && r.State == Running {
		delete(s.records, k)
	}
}

// Close stops the ledger from recording new runs, so that its records can be copied to other hosts. Start still returns
// existing records.
func (l *Ledger) Close() { l.closed.Store(true) }

// Import stores a record from another host, unless the ledger has an unexpired record of the key.
func (l *Ledger) Import(now time.Time, k Key, r Record) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[k]; ok && now.Before(old.expiresAt) {
		return
	}
	r.expiresAt = now.Add(l.retention)
	s.bodyBytes += len(r.Outcome.Body)
	s.records[k] = &r
}

// All returns all unexpired records.
func (l *Ledger) All(now time.Time) map[Key]Record {
	out := map[Key]Record{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if now.Before(r.expiresAt) {
				out[k] = *r
			}
		}
		s.mu.Unlock()
	}
	return out
}

// sweep removes expired records, at most once a second.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < time.Second {
		return
	}
	s.sweptAt = now
	for k, r := range s.records {
		if !now.Before(r.expiresAt) {
			s.bodyBytes -= len(r.Outcome.Body)
			delete(s.records, k)
		}
	}
}

// Len returns the number of stored records, which may include expired ones.
func (l *Ledger) Len() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += len(s.records)
		s.mu.Unlock()
	}
	return n
}
