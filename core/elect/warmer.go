package elect

import (
	"slices"
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	updateInterval = 500 * time.Millisecond // between looks at the hosts among which warmers are elected
	// Takeover is how long a host has to be elected before it warms up a server that another host may be warming up, so that the
	// other one has read of the change too.
	Takeover = 2 * time.Second
)

// Warmer elects, for each cold backend server, the host that sends it requests: among the hosts that hold a lease, of which all
// hosts know the same. Hosts that are elected among those that they hear would all elect themselves when they hear nobody. It
// remembers the elections, since a request compares all servers of its service. It is safe for concurrent use.
type Warmer struct {
	self ident.Host
	// hosts returns the hosts that hold a lease, in any order.
	hosts func() []ident.Host

	mu        sync.Mutex
	updatedAt time.Time
	among     []ident.Host // sorted
	earlier   []electorate // that held within Takeover
	elected   map[ident.BackendServer]bool
}

// electorate is a list of hosts that one was elected among until it changed.
type electorate struct {
	hosts   []ident.Host
	endedAt time.Time
}

// NewWarmer returns a warmer of the host self, which is elected only while hosts returns it.
func NewWarmer(self ident.Host, hosts func() []ident.Host) *Warmer {
	return &Warmer{self: self, hosts: hosts, elected: map[ident.BackendServer]bool{}}
}

// WarmsUp reports whether this host sends requests to the server while it is cold.
func (w *Warmer) WarmsUp(now time.Time, server ident.BackendServer) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now.Sub(w.updatedAt) >= updateInterval {
		w.update(now)
	}
	elected, known := w.elected[server]
	if !known {
		elected = w.elects(server)
		w.elected[server] = elected
	}
	return elected
}

// elects reports whether this host is elected now, and was among all lists of hosts that held within Takeover.
func (w *Warmer) elects(server ident.BackendServer) bool {
	for _, e := range w.earlier {
		if Pick(string(server), e.hosts) != w.self {
			return false
		}
	}
	return Pick(string(server), w.among) == w.self
}

// update forgets the elections if the hosts have changed, or when an earlier list counts no more.
func (w *Warmer) update(now time.Time) {
	w.updatedAt = now
	among := w.hosts()
	slices.Sort(among)
	before := len(w.earlier)
	w.earlier = slices.DeleteFunc(w.earlier, func(e electorate) bool { return now.Sub(e.endedAt) > Takeover })
	changed := !slices.Equal(among, w.among)
	if changed {
		w.earlier = append(w.earlier, electorate{hosts: w.among, endedAt: now})
		w.among = among
	}
	if changed || len(w.earlier) != before {
		clear(w.elected)
	}
}
