// Package leave records which processes of backend servers have said that they leave. Such a process does not come back,
// whatever older registrations or later answers say; another process of the same backend server is not affected.
package leave

import (
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	// retention is how long a process counts as leaving. It is to be longer than any process takes to end.
	retention = time.Hour
	// unknownRetention is the same if the start of the process is not known, so that it may be another one by then.
	unknownRetention = 10 * time.Second
)

// Server is one process of a backend server.
type Server struct {
	ID    ident.BackendServer
	Start int64 // Unix time of the process start in milliseconds, 0 if unknown
}

// Book holds the processes that leave. It is safe for concurrent use.
type Book struct {
	mu   sync.RWMutex
	ends map[Server]time.Time // when each is forgotten
}

// New returns an empty book.
func New() *Book { return &Book{ends: map[Server]time.Time{}} }

// Mark records that the process has said that it leaves, and reports whether that is news.
func (b *Book) Mark(now time.Time, s Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for other, end := range b.ends {
		if !now.Before(end) {
			delete(b.ends, other)
		}
	}
	_, known := b.ends[s]
	b.ends[s] = now.Add(retention)
	if s.Start == 0 {
		b.ends[s] = now.Add(unknownRetention)
	}
	return !known
}

// Leaves reports whether the process has said that it leaves.
func (b *Book) Leaves(now time.Time, s Server) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return now.Before(b.ends[s])
}
