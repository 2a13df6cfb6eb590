package watch

import (
	"maps"
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/core/wire"
)

// Table returns the configuration in force, nil when none is known.
func (w *Watch) Table() *table.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

// Servers returns the backend servers that requests may be sent to.
func (w *Watch) Servers() []roster.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.seams.Now()
	list := w.roster.List()
	kept := list[:0]
	for _, e := range list {
		since, back := w.repopulate[e.Zone]
		if w.evacuated[e.Zone] || back && !e.UpdatedAt.After(since) && now.Sub(since) <= restateTime {
			continue
		}
		kept = append(kept, e)
	}
	return kept
}

// Gone notes that a process of a backend server has certainly ended.
func (w *Watch) Gone(s roster.Server) { w.roster.MarkEnded(s.ID, s.StartMillis) }

// Revision returns the store revision up to which all changes are known.
func (w *Watch) Revision() ident.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// Orders returns the orders to move services.
func (w *Watch) Orders() []Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]Order, 0, len(w.orders))
	for _, o := range w.orders {
		list = append(list, o)
	}
	return list
}

// Verdict returns what operators read of a service's move.
func (w *Watch) Verdict(service ident.Service) (Verdict, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	v, ok := w.verdicts[service]
	return v, ok
}

// Stage returns how far the move of a service is.
func (w *Watch) Stage(service ident.Service) (Stage, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.stages[service]
	return s, ok
}

// Hosts returns the hosts that hold a lease.
func (w *Watch) Hosts() map[ident.Host]wire.Edge {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.hosts)
}

// StoreLost tells whether the last call to the store failed.
func (w *Watch) StoreLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeLost
}

// Loaded tells whether a configuration and a list of servers are known.
func (w *Watch) Loaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded && w.table != nil
}

// Age returns how long ago what is known of the store was last complete, zero before anything is known.
func (w *Watch) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fresh.IsZero() {
		return 0
	}
	return w.seams.Now().Sub(w.fresh)
}
