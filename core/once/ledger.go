// Package once keeps records of requests that must run at most once.
package once

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	shardCount = 32
	maxRecords = 8192    // in one shard
	maxBytes   = 1 << 20 // of kept answers in one shard
)

// Key is a team and the idempotency key that its caller chose.
type Key string

// Owner identifies one run.
type Owner string

// State is how far a run has come.
type State string

// States of a run.
const (
	Fresh   State = "fresh"   // no run is known; the asker's run is now recorded
	Running State = "running" // a run was started and its outcome is not known yet
	Done    State = "done"    // a run ended with an outcome
	Unknown State = "unknown" // a run was started and its outcome will never be known
	Full    State = "full"    // the ledger has no room; nothing was recorded
)

// Outcome is the answer that a run gave.
type Outcome struct {
	Status    int
	Header    map[string]string
	Body      []byte
	Truncated bool // the body was too large to keep
}

// Record is what the ledger knows of one key.
type Record struct {
	State   State
	Owner   Owner
	Outcome Outcome
	until   time.Time
}

// Ledger is one host's memory of runs, in shards with a lock each.
type Ledger struct {
	memory time.Duration
	closed atomic.Bool
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	records map[Key]*Record
	bytes   int // of kept answers
	swept   time.Time
}

// New returns an empty ledger that remembers for so long.
func New(memory time.Duration) *Ledger {
	l := &Ledger{memory: memory}
	for i := range l.shards {
		l.shards[i].records = map[Key]*Record{}
	}
	return l
}

func (l *Ledger) shard(k Key) *shard { return &l.shards[xxhash.Sum64String(string(k))%shardCount] }

// Start records a run and returns Fresh, or returns what is known of an earlier one.
// A repeat by the same owner is Fresh again.
func (l *Ledger) Start(now time.Time, k Key, owner Owner) Record {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if r, ok := s.records[k]; ok && now.Before(r.until) {
		if r.Owner == owner && r.State == Running {
			return Record{State: Fresh, Owner: owner}
		}
		return *r
	}
	if len(s.records) >= maxRecords || l.closed.Load() {
		return Record{State: Full}
	}
	if old, ok := s.records[k]; ok {
		s.bytes -= len(old.Outcome.Body)
	}
	s.records[k] = &Record{State: Running, Owner: owner, until: now.Add(l.memory)}
	return Record{State: Fresh, Owner: owner}
}

// Finish records the outcome of the owner's run. Repeats and runs of others change nothing.
func (l *Ledger) Finish(now time.Time, k Key, owner Owner, state State, outcome Outcome) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[k]
	if !ok || r.Owner != owner || r.State != Running {
		return
	}
	if s.bytes+len(outcome.Body) > maxBytes {
		outcome.Body, outcome.Truncated = nil, true
	}
	s.bytes += len(outcome.Body)
	r.State = state
	r.Outcome = outcome
	r.until = now.Add(l.memory)
}

// Cancel forgets the owner's run, which was certainly not run.
func (l *Ledger) Cancel(k Key, owner Owner) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[k]; ok && r.Owner == owner && r.State == Running {
		delete(s.records, k)
	}
}

// Close records no further runs, so that the records can be handed over. Those at hand are still answered.
func (l *Ledger) Close() { l.closed.Store(true) }

// Copy takes in a record that another host hands over, unless one of the key is at hand.
func (l *Ledger) Copy(now time.Time, k Key, r Record) {
	s := l.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.records[k]; ok && now.Before(old.until) {
		return
	}
	r.until = now.Add(l.memory)
	s.bytes += len(r.Outcome.Body)
	s.records[k] = &r
}

// All returns every record that is remembered.
func (l *Ledger) All(now time.Time) map[Key]Record {
	out := map[Key]Record{}
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		for k, r := range s.records {
			if now.Before(r.until) {
				out[k] = *r
			}
		}
		s.mu.Unlock()
	}
	return out
}

// sweep drops what is too old, at most once a second.
func (s *shard) sweep(now time.Time) {
	if now.Sub(s.swept) < time.Second {
		return
	}
	s.swept = now
	for k, r := range s.records {
		if !now.Before(r.until) {
			s.bytes -= len(r.Outcome.Body)
			delete(s.records, k)
		}
	}
}

// Length returns the number of records.
func (l *Ledger) Length() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += len(s.records)
		s.mu.Unlock()
	}
	return n
}
