package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"jayshift/core/ident"
	"jayshift/core/leave"
)

// Entry is a backend server that may be used.
type Entry struct {
	Server
	ColdUntil time.Time
	UpdatedAt time.Time // when the last registration was applied
}

// Roster applies registrations of backend servers and their removals.
//
// Registrations can expire during a store outage although their servers are running. Such servers register again within
// RemovalDelay of the store's recovery, so removals during that time are delayed until it ends.
type Roster struct {
	// RemovalDelay is how long after the store's recovery removals are delayed.
	RemovalDelay time.Duration
	// Named reports whether the configuration names a service. Registrations of other services are kept, but replace no server at
	// the same address: they may be another writer's. Set it before use.
	Named func(ident.Service) bool

	mu              sync.Mutex
	entries         map[ident.BackendServer]Entry
	byAddress       map[string]map[ident.BackendServer]bool // the ids in entries by their addresses
	pendingRemovals map[ident.BackendServer]time.Time       // when a delayed removal takes effect
	endedStart      map[ident.BackendServer]int64           // StartMillis of the latest process that is known to have ended
	removed         map[ident.BackendServer]removal         // the last registrations of removed servers
	leaving         *leave.Book                             // processes that have said that they leave
	delayUntil      time.Time                               // removals that arrive before this time are delayed until then
}

// removalRetention is how long the last registration of a removed server is kept, to tell older ones from new ones.
const removalRetention = time.Minute

// removal is the last registration of a removed server, and the time of its removal.
type removal struct {
	last Server
	at   time.Time
}

// New returns an empty roster with the given RemovalDelay.
func New(removalDelay time.Duration) *Roster {
	return &Roster{
		RemovalDelay: removalDelay, Named: func(ident.Service) bool { return true }, entries: map[ident.BackendServer]Entry{}, byAddress: map[string]map[ident.BackendServer]bool{},
		pendingRemovals: map[ident.BackendServer]time.Time{}, endedStart: map[ident.BackendServer]int64{},
		removed: map[ident.BackendServer]removal{}, leaving: leave.New(),
	}
}

// StoreRecovered records that the store answers again after an outage. It delays removals for RemovalDelay.
func (r *Roster) StoreRecovered(now time.Time) { r.DelayRemovals(now.Add(r.RemovalDelay)) }

// DelayRemovals delays removals that arrive before the given time until then.
func (r *Roster) DelayRemovals(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until.After(r.delayUntil) {
		r.delayUntil = until
	}
}

// Register applies a registration and reports whether it added the server or changed anything other than Seq.
// It ignores a registration that is older than the present one or comes from a process that is known to have ended. After a
// removal it ignores the registrations up to the last one of that process, which a store may hold again that was restored
// from a copy.
func (r *Roster) Register(now time.Time, s Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.entries[s.ID]
	if known && isOlder(s, old.Server) || s.StartMillis != 0 && s.StartMillis <= r.endedStart[s.ID] {
		return false
	}
	if gone, ok := r.removed[s.ID]; ok && !known && s.StartMillis != 0 && !isOlder(gone.last, s) {
		return false
	}
	delete(r.removed, s.ID)
	delete(r.pendingRemovals, s.ID)
	entry := Entry{Server: s, ColdUntil: now.Add(s.Cold), UpdatedAt: now}
	if known && old.StartMillis == s.StartMillis && old.Draining {
		entry.Draining = true // a process never stops draining
	}
	if s.StartMillis != 0 && r.leaving.Leaves(now, leave.Server{ID: s.ID, Start: s.StartMillis}) {
		entry.Draining = true
	}
	r.setEntry(entry)
	if r.Named(s.Service) {
		r.removeReplaced(s)
	}
	return !known || !old.EqualExceptSeq(entry.Server)
}

// RecordLast records that a registered process has made a registration up to the given one, which differs in its Seq only.
func (r *Roster) RecordLast(s Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[s.ID]; ok && e.StartMillis == s.StartMillis && e.Seq < s.Seq {
		e.Seq = s.Seq
		r.entries[s.ID] = e
	}
}

// isOlder reports whether a registration was made before another one with the same id.
func isOlder(s, than Server) bool {
	if s.StartMillis != than.StartMillis {
		return s.StartMillis < than.StartMillis
	}
	return s.Seq < than.Seq
}

// removeReplaced removes servers whose address is now used by a process that started later.
func (r *Roster) removeReplaced(s Server) {
	for id := range r.byAddress[s.Address] {
		if id != s.ID && r.entries[id].StartMillis < s.StartMillis {
			r.recordEnded(id)
		}
	}
}

func (r *Roster) setEntry(e Entry) {
	r.deleteEntry(e.ID)
	r.entries[e.ID] = e
	if r.byAddress[e.Address] == nil {
		r.byAddress[e.Address] = map[ident.BackendServer]bool{}
	}
	r.byAddress[e.Address][e.ID] = true
}

func (r *Roster) deleteEntry(id ident.BackendServer) {
	e, ok := r.entries[id]
	if !ok {
		return
	}
	delete(r.entries, id)
	delete(r.byAddress[e.Address], id)
	if len(r.byAddress[e.Address]) == 0 {
		delete(r.byAddress, e.Address)
	}
}

// Remove applies the removal of a server's registration, or delays it during RemovalDelay after a store outage.
func (r *Roster) Remove(now time.Time, id ident.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[id]; !ok {
		return
	}
	if now.Before(r.delayUntil) {
		r.pendingRemovals[id] = r.delayUntil
		return
	}
	r.removeEntry(now, id)
}

// removeEntry removes a server. A draining one is recorded as ended; any other may merely have lost contact with the
// store and can register again.
func (r *Roster) removeEntry(now time.Time, id ident.BackendServer) {
	if r.entries[id].Draining {
		r.recordEnded(id)
		return
	}
	for old, gone := range r.removed {
		if now.Sub(gone.at) > removalRetention {
			delete(r.removed, old)
		}
	}
	r.removed[id] = removal{last: r.entries[id].Server, at: now}
	r.deleteEntry(id)
	delete(r.pendingRemovals, id)
}

// MarkEnded records that a process is known to have ended, for example because another one answers at its address.
// It has no effect if the entry is of a process with another start time.
func (r *Roster) MarkEnded(id ident.BackendServer, startMillis int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[id]; ok && e.StartMillis == startMillis {
		r.recordEnded(id)
	}
}

// MarkLeaving records that a process has said in an answer that it leaves. No registration of that process undoes it, also if
// the process is not registered at the moment. It reports whether an entry has changed.
func (r *Roster) MarkLeaving(now time.Time, id ident.BackendServer, startMillis int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving.Mark(now, leave.Server{ID: id, Start: startMillis})
	e, ok := r.entries[id]
	if !ok || e.StartMillis != startMillis || e.Draining {
		return false
	}
	e.Draining = true
	r.setEntry(e)
	return true
}

// recordEnded removes a server and ignores later registrations of that process or earlier ones with its id.
func (r *Roster) recordEnded(id ident.BackendServer) {
	r.endedStart[id] = max(r.endedStart[id], r.entries[id].StartMillis)
	r.deleteEntry(id)
	delete(r.pendingRemovals, id)
}

// ApplyRemovals applies the delayed removals that are due and reports whether there were any.
func (r *Roster) ApplyRemovals(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, at := range r.pendingRemovals {
		if now.Before(at) {
			continue
		}
		r.removeEntry(now, id)
		changed = true
	}
	return changed
}

// Replace applies a full list of registrations, for example after a gap in the store's history.
// Servers that are not in the list are treated as removed.
func (r *Roster) Replace(now time.Time, list []Server) {
	present := map[ident.BackendServer]bool{}
	for _, s := range list {
		present[s.ID] = true
		r.Register(now, s)
	}
	for _, e := range r.List() {
		if !present[e.ID] {
			r.Remove(now, e.ID)
		}
	}
}

// Has reports whether the process of a backend server is registered.
func (r *Roster) Has(id ident.BackendServer, startMillis int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry, ok := r.entries[id]
	return ok && entry.StartMillis == startMillis
}

// Replaced reports whether a later process of a backend server than the one with the given start is registered.
func (r *Roster) Replaced(id ident.BackendServer, startMillis int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.entries[id].StartMillis > startMillis
}

// List returns all servers, ordered by id.
func (r *Roster) List() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Entry, 0, len(r.entries))
	for _, e := range r.entries {
		list = append(list, e)
	}
	slices.SortFunc(list, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}
