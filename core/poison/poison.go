// Package poison remembers requests that took down the backend servers that ran them.
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
)

const (
	shardCount = 16
	strikesOut = 2 // backend servers lost before a request is refused for good
	memory     = 10 * time.Minute
	maxPrints  = 4096 // fingerprints in one shard
)

// Print identifies a request by what it asks for.
type Print string

// List counts the backend servers lost to each fingerprint, in shards with a lock each.
type List struct {
	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	prints map[Print]*strikes
}

type strikes struct {
	servers map[ident.BackendServer]bool
	until   time.Time
}

// New returns an empty list.
func New() *List {
	l := &List{}
	for i := range l.shards {
		l.shards[i].prints = map[Print]*strikes{}
	}
	return l
}

func (l *List) shard(p Print) *shard { return &l.shards[xxhash.Sum64String(string(p))%shardCount] }

// Strike notes that a backend server was lost while it ran the request. Repeats for the same server count once.
func (l *List) Strike(now time.Time, p Print, server ident.BackendServer) {
	s := l.shard(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	k, ok := s.prints[p]
	if !ok {
		k = &strikes{servers: map[ident.BackendServer]bool{}}
		s.prints[p] = k
	}
	k.servers[server] = true
	k.until = now.Add(memory)
}

// expire drops what is too old, and the oldest when there are too many.
func (s *shard) expire(now time.Time) {
	var oldest Print
	for p, k := range s.prints {
		if !now.Before(k.until) {
			delete(s.prints, p)
			continue
		}
		if oldest == "" || k.until.Before(s.prints[oldest].until) {
			oldest = p
		}
	}
	if len(s.prints) >= maxPrints {
		delete(s.prints, oldest)
	}
}

// Refused tells whether the request has taken down so many backend servers that it must not run again.
func (l *List) Refused(now time.Time, p Print) bool {
	s := l.shard(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	k, ok := s.prints[p]
	return ok && now.Before(k.until) && len(k.servers) >= strikesOut
}
