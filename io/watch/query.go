package watch

import (
	"maps"
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/core/wire"
)

// Table returns the configuration in force, or nil if there is none yet.
func (w *Watch) Table() *table.Table {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.table
}

// HasServer reports whether the process of a backend server is registered, whether requests may be sent to it or not.
func (w *Watch) HasServer(id ident.BackendServer, startMillis int64) bool {
	return w.roster.Has(id, startMillis)
}

// Replaced reports whether a later process of the backend server is registered.
func (w *Watch) Replaced(s roster.Server) bool { return w.roster.Replaced(s.ID, s.StartMillis) }

// Servers returns the backend servers that requests may be sent to. It excludes servers in evacuated zones and, for
// reregisterTimeout after the end of an evacuation, servers that have not registered again.
func (w *Watch) Servers() []roster.Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.deps.Now()
	list := w.roster.List()
	usable := list[:0]
	for _, e := range list {
		endedAt, ok := w.evacuationEndedAt[e.Zone]
		if w.evacuated[e.Zone] || ok && !e.UpdatedAt.After(endedAt) && now.Sub(endedAt) <= reregisterTimeout {
			continue
		}
		usable = append(usable, e)
	}
	return usable
}

// MarkEnded records that a process of a backend server is known to have ended.
func (w *Watch) MarkEnded(s roster.Server) { w.roster.MarkEnded(s.ID, s.StartMillis) }

// MarkLeaving records that a process of a backend server has said in an answer that it leaves.
func (w *Watch) MarkLeaving(s roster.Server) {
	if !w.roster.MarkLeaving(w.deps.Now(), s.ID, s.StartMillis) {
		return
	}
	w.deps.Log.Info("backend server leaves, by its answer", "backend-server", string(s.ID), "service", string(s.Service))
	w.deps.OnChange()
}

// Revision returns the store revision up to which the copy is complete.
func (w *Watch) Revision() ident.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.revision
}

// Orders returns the move orders, in no particular order.
func (w *Watch) Orders() []MoveOrder {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := make([]MoveOrder, 0, len(w.orders))
	for _, o := range w.orders {
		list = append(list, o)
	}
	return list
}

// MoveStatus returns the stored status of a service's move and whether there is one.
func (w *Watch) MoveStatus(service ident.Service) (MoveStatus, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.statuses[service]
	return s, ok
}

// Stage returns the stored progress of a service's move and whether there is one.
func (w *Watch) Stage(service ident.Service) (Stage, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.stages[service]
	return s, ok
}

// Hosts returns the registered hosts. A registration is attached to a lease and is deleted when the lease expires.
func (w *Watch) Hosts() map[ident.Host]wire.Edge {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.hosts)
}

// StoreLost reports whether the last call to the store failed.
func (w *Watch) StoreLost() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storeLost
}

// Loaded reports whether the store has been read and contained a configuration.
func (w *Watch) Loaded() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded && w.table != nil
}

// ConfirmedAt returns the latest time at which the store is known to have had nothing that this host's copy lacks, zero if
// there is no copy.
func (w *Watch) ConfirmedAt() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.confirmedAt
}

// Age returns the time since the copy was last confirmed as complete, or 0 if it never was.
func (w *Watch) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.confirmedAt.IsZero() {
		return 0
	}
	return w.deps.Now().Sub(w.confirmedAt)
}
