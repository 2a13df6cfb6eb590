// Package rest keeps until when backend servers have asked this host to send them nothing: in an answer 503 or 429 with
// Retry-After, by which they turn a request away.
package rest

import (
	"net/http"
	"sync"
	"time"

	"jayshift/core/ident"
)

// Server identifies one process of a backend server. Another process with the same id has asked for nothing.
type Server struct {
	ID    ident.BackendServer
	Start int64 // Unix time of the process start in milliseconds, 0 if not known
}

// Book holds the ends of the rests of all backend servers. It is safe for concurrent use.
type Book struct {
	// OnRest is called when a server has asked for a rest or a longer one; may be nil.
	OnRest func(s Server, end time.Time)

	mu   sync.RWMutex
	ends map[Server]time.Time
}

// New returns a Book without rests.
func New() *Book { return &Book{ends: map[Server]time.Time{}} }

// RecordAnswer records the rest for which a server asks with an answer of the status and header, if any. A rest that was
// asked for before is not shortened.
func (b *Book) RecordAnswer(now time.Time, s Server, status int, h http.Header) {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	end, ok := parse(now, h.Values("Retry-After"))
	if !ok || !b.record(now, s, end) || b.OnRest == nil {
		return
	}
	b.OnRest(s, end)
}

func (b *Book) record(now time.Time, s Server, end time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for old, oldEnd := range b.ends {
		if !now.Before(oldEnd) {
			delete(b.ends, old)
		}
	}
	if !end.After(b.ends[s]) {
		return false
	}
	b.ends[s] = end
	return true
}

// End returns the end of the server's rest, or false if it does not rest now.
func (b *Book) End(now time.Time, s Server) (time.Time, bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	end := b.ends[s]
	return end, now.Before(end)
}

// Resting returns the number of servers that rest.
func (b *Book) Resting(now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	n := 0
	for _, end := range b.ends {
		if now.Before(end) {
			n++
		}
	}
	return n
}
