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
	goodLife   = 1 * time.Minute
	maxGood    = 8192 // fingerprints that succeeded lately, in one shard and half of the life
)

// Print identifies a request by what it asks for.
type Print string

// List counts the backend servers lost to each fingerprint, in shards with a lock each.
type List struct {
	// Strikes is how many backend servers a request must have taken down to be refused for good.
	Strikes int

	shards [shardCount]shard
}

type shard struct {
	mu     sync.Mutex
	prints map[Print]*strikes
	good   [2]map[uint64]bool // hashes of fingerprints that succeeded: now, and in the time before
	turned time.Time
}

type strikes struct {
	servers map[ident.BackendServer]bool
	until   time.Time
}

// New returns an empty list.
func New() *List {
	l := &List{Strikes: strikesOut}
	for i := range l.shards {
		l.shards[i].prints = map[Print]*strikes{}
		l.shards[i].good = [2]map[uint64]bool{{}, {}}
	}
	return l
}

func (l *List) shard(p Print) *shard { return &l.shards[xxhash.Sum64String(string(p))%shardCount] }

// Succeeded notes that a backend server ran the request and lived. Such a request is not to blame when a backend server
// is lost soon after: much asked for ones are running wherever one dies.
func (l *List) Succeeded(now time.Time, p Print) {
	s := l.shard(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if len(s.good[0]) < maxGood {
		s.good[0][xxhash.Sum64String(string(p))] = true
	}
	delete(s.prints, p)
}

// turn ages the fingerprints that succeeded.
func (s *shard) turn(now time.Time) {
	if now.Sub(s.turned) < goodLife {
		return
	}
	s.good[1] = s.good[0]
	if now.Sub(s.turned) >= 2*goodLife {
		s.good[1] = map[uint64]bool{}
	}
	s.good[0] = map[uint64]bool{}
	s.turned = now
}

// Strike notes that a backend server was lost while it ran the request; false when the request succeeded lately.
// Repeats for the same server count once.
func (l *List) Strike(now time.Time, p Print, server ident.BackendServer) bool {
	s := l.shard(p)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(now)
	if hash := xxhash.Sum64String(string(p)); s.good[0][hash] || s.good[1][hash] {
		return false
	}
	s.expire(now)
	k, ok := s.prints[p]
	if !ok {
		k = &strikes{servers: map[ident.BackendServer]bool{}}
		s.prints[p] = k
	}
	k.servers[server] = true
	k.until = now.Add(memory)
	return true
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
	return ok && now.Before(k.until) && len(k.servers) >= l.Strikes
}
