package fake

import (
	"strconv"
	"time"
)

// removeExpired removes expired leases and their keys. The caller must hold mu.
func (s *Store) removeExpired() {
	now := time.Now()
	for id, expiry := range s.expiryByLease {
		if now.Before(expiry) {
			continue
		}
		delete(s.expiryByLease, id)
		s.revision++
		for key, r := range s.records {
			if r.lease == id {
				s.remove(key)
			}
		}
		s.notifyWatches()
	}
}

// ExpireLeases makes all leases expire now.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.expiryByLease {
		s.expiryByLease[id] = time.Time{}
	}
	s.removeExpired()
}

func (s *Store) grant(req struct {
	TTL int64 `json:"TTL,string"`
},
) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.revision*1000 + int64(len(s.expiryByLease)) + 1
	s.ttlByLease[id] = time.Duration(req.TTL) * time.Second
	s.expiryByLease[id] = time.Now().Add(s.ttlByLease[id])
	return map[string]any{"ID": strconv.FormatInt(id, 10), "TTL": strconv.FormatInt(req.TTL, 10)}
}

func (s *Store) keepAlive(req struct {
	ID int64 `json:"ID,string"`
},
) any {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeExpired()
	ttl := int64(0)
	if _, ok := s.expiryByLease[req.ID]; ok {
		s.expiryByLease[req.ID] = time.Now().Add(s.ttlByLease[req.ID])
		ttl = int64(s.ttlByLease[req.ID] / time.Second)
	}
	return map[string]any{"result": map[string]any{"ID": strconv.FormatInt(req.ID, 10), "TTL": strconv.FormatInt(ttl, 10)}}
}
