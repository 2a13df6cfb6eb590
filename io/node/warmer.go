package node

import (
	"slices"
	"sync"
	"time"

	"jayshift/core/elect"
	"jayshift/core/ident"
)

const warmerInterval = 500 * time.Millisecond // between updates of the hosts among which warmers are elected

// warmer elects, for each cold backend server, the host of this host's region that sends it requests. It remembers the
// elections, since a request compares all servers of its service.
type warmer struct {
	self ident.Host
	// hosts returns the active peers of the region.
	hosts func() []ident.Host

	mu        sync.Mutex
	updatedAt time.Time
	among     []ident.Host // this host and its active peers, sorted
	elected   map[ident.BackendServer]bool
}

func newWarmer(self ident.Host, hosts func() []ident.Host) *warmer {
	return &warmer{self: self, hosts: hosts, elected: map[ident.BackendServer]bool{}}
}

// warmsUp reports whether this host sends requests to the server while it is cold.
func (w *warmer) warmsUp(server ident.BackendServer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.updatedAt) >= warmerInterval {
		w.update(now)
	}
	elected, known := w.elected[server]
	if !known {
		elected = elect.Pick(string(server), w.among) == w.self
		w.elected[server] = elected
	}
	return elected
}

// update forgets the elections if the hosts have changed.
func (w *warmer) update(now time.Time) {
	w.updatedAt = now
	among := append(w.hosts(), w.self)
	slices.Sort(among)
	if !slices.Equal(among, w.among) {
		w.among = among
		clear(w.elected)
	}
}
