// Package poison detects requests that crash the backend servers that run them, so that they are not sent to more.
package poison

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
)

const (
	shardCount         = 16
	defaultStrikeLimit = 2 // backend servers lost before a request is refused
	strikeTTL          = 10 * time.Minute
	maxFingerprints    = 4096 // fingerprints with strikes in one shard
	successWindow      = 1 * time.Minute
	maxSuccesses       = 8192 // successful fingerprints in one shard and one successWindow
)

// Fingerprint identifies requests with the same content.
type Fingerprint string

// Detector counts the backend servers lost to each fingerprint. It is sharded, with a lock for each shard, and safe for
// concurrent use.
type Detector struct {
	// StrikeLimit is how many backend servers must be lost to a request before it is refused. Set it before use.
	StrikeLimit int

	shards [shardCount]shard
}

type shard struct {
	mu        sync.Mutex
	strikes   map[Fingerprint]*record
	successes [2]map[uint64]bool // hashes of successful fingerprints in the current and in the previous window
	rotatedAt time.Time
}

type record struct {
	servers   map[ident.BackendServer]time.Time // that were lost, and when
	expiresAt time.Time
}

// New returns a detector without strikes.
func New() *Detector {
	d := &Detector{StrikeLimit: defaultStrikeLimit}
	for i := range d.shards {
		d.shards[i].strikes = map[Fingerprint]*record{}
		d.shards[i].successes = [2]map[uint64]bool{{}, {}}
	}
	return d
}

func (d *Detector) shard(fp Fingerprint) *shard {
	return &d.shards[xxhash.Sum64String(string(fp))%shardCount]
}

// RecordSuccess records that a backend server ran the request without being lost, and deletes its strikes. Strike then
// ignores the fingerprint for one to two times successWindow: a frequent request is likely to be running on any backend
// server that is lost, without being the cause.
func (d *Detector) RecordSuccess(now time.Time, fp Fingerprint) {
	s := d.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if len(s.successes[0]) < maxSuccesses {
		s.successes[0][xxhash.Sum64String(string(fp))] = true
	}
	delete(s.strikes, fp)
}

// rotate starts a new window of successful fingerprints once successWindow has passed.
func (s *shard) rotate(now time.Time) {
	if now.Sub(s.rotatedAt) < successWindow {
		return
	}
	s.successes[1] = s.successes[0]
	if now.Sub(s.rotatedAt) >= 2*successWindow {
		s.successes[1] = map[uint64]bool{}
	}
	s.successes[0] = map[uint64]bool{}
	s.rotatedAt = now
}

// Strike records that a backend server was lost while it ran a request. It returns false, and records nothing, if the
// request succeeded recently. Repeated strikes for the same server count once.
func (d *Detector) Strike(now time.Time, fp Fingerprint, server ident.BackendServer) bool {
	recorded, _ := d.record(now, Loss{Fingerprint: fp, Server: server, At: now})
	return recorded
}

// record records a loss. It reports whether it has, and whether the loss of the server to the request was not known.
func (d *Detector) record(now time.Time, l Loss) (recorded, unknown bool) {
	s := d.shard(l.Fingerprint)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	if hash := xxhash.Sum64String(string(l.Fingerprint)); s.successes[0][hash] || s.successes[1][hash] {
		return false, false
	}
	s.evict(now)
	rec, ok := s.strikes[l.Fingerprint]
	if !ok {
		rec = &record{servers: map[ident.BackendServer]time.Time{}}
		s.strikes[l.Fingerprint] = rec
	}
	known, ok := rec.servers[l.Server]
	if !ok || l.At.After(known) {
		rec.servers[l.Server] = l.At
	}
	if end := l.At.Add(strikeTTL); end.After(rec.expiresAt) {
		rec.expiresAt = end
	}
	return true, !ok
}

// evict deletes expired records, and the oldest record if the shard is full.
func (s *shard) evict(now time.Time) {
	var oldest Fingerprint
	for fp, rec := range s.strikes {
		if !now.Before(rec.expiresAt) {
			delete(s.strikes, fp)
			continue
		}
		if oldest == "" || rec.expiresAt.Before(s.strikes[oldest].expiresAt) {
			oldest = fp
		}
	}
	if len(s.strikes) >= maxFingerprints {
		delete(s.strikes, oldest)
	}
}

// Refused reports whether StrikeLimit backend servers were lost to the request. The strikes expire strikeTTL after the
// last one.
func (d *Detector) Refused(now time.Time, fp Fingerprint) bool {
	s := d.shard(fp)
	s.mu.Lock()
	defer s.mu.Unlock()
	rec, ok := s.strikes[fp]
	return ok && now.Before(rec.expiresAt) && len(rec.servers) >= d.StrikeLimit
}
