package roster

import (
	"slices"
	"strings"
	"sync"
	"time"

	"jayshift/core/ident"
)

// Entry is a server that may be used.
type Entry struct {
	Server
	ColdUntil time.Time
	Stated    time.Time // when the last statement was taken in
}

// Roster takes in statements of backend servers and their removals.
//
// Entries lapse while the store is away although their servers live. Such servers state themselves anew within
// Return of the store's return; until then their removal does not count.
type Roster struct {
	// Return is how long a removal waits after the store was away.
	Return time.Duration

	mu      sync.Mutex
	entries map[ident.BackendServer]Entry
	removed map[ident.BackendServer]time.Time // when a removal that waits takes effect
	ended   map[ident.BackendServer]int64     // start time of the last process that is known to have ended
	away    time.Time                         // removals before this time wait
}

// New returns an empty roster.
func New(returned time.Duration) *Roster {
	return &Roster{
		Return: returned, entries: map[ident.BackendServer]Entry{},
		removed: map[ident.BackendServer]time.Time{}, ended: map[ident.BackendServer]int64{},
	}
}

// StoreBack notes that the store answers again after it was away.
func (r *Roster) StoreBack(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.away = now.Add(r.Return)
}

// State takes in a statement, and tells whether it changed anything that matters.
func (r *Roster) State(now time.Time, s Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.entries[s.ID]
	if known && older(s, old.Server) || s.Born != 0 && s.Born <= r.ended[s.ID] {
		return false
	}
	delete(r.removed, s.ID)
	entry := Entry{Server: s, ColdUntil: now.Add(s.Cold), Stated: now}
	if known && old.Born == s.Born && old.Draining {
		entry.Draining = true // a process that leaves does not come back
	}
	r.entries[s.ID] = entry
	r.dropReplaced(s)
	return !known || !old.Same(entry.Server)
}

// older tells whether a statement was made before another one of the same id.
func older(s, than Server) bool {
	if s.Born != than.Born {
		return s.Born < than.Born
	}
	return s.Beat < than.Beat
}

// dropReplaced removes servers whose address a later process has taken over.
func (r *Roster) dropReplaced(s Server) {
	for id, e := range r.entries {
		if id != s.ID && e.Address == s.Address && e.Born < s.Born {
			r.end(id)
		}
	}
}

// Remove takes in the removal of a server's statement.
func (r *Roster) Remove(now time.Time, id ident.BackendServer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[id]; !ok {
		return
	}
	if now.Before(r.away) {
		r.removed[id] = r.away
		return
	}
	r.drop(id)
}

// drop forgets a server. One that was leaving is known to have ended; others may have lost touch with the store only.
func (r *Roster) drop(id ident.BackendServer) {
	if r.entries[id].Draining {
		r.end(id)
		return
	}
	delete(r.entries, id)
	delete(r.removed, id)
}

// Gone notes that a process has certainly ended, as when another one answers at its address.
func (r *Roster) Gone(id ident.BackendServer, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.entries[id]; ok && e.Born == born {
		r.end(id)
	}
}

func (r *Roster) end(id ident.BackendServer) {
	r.ended[id] = max(r.ended[id], r.entries[id].Born)
	delete(r.entries, id)
	delete(r.removed, id)
}

// Expire lets removals take effect whose wait is over, and tells whether there were any.
func (r *Roster) Expire(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for id, at := range r.removed {
		if now.Before(at) {
			continue
		}
		r.drop(id)
		changed = true
	}
	return changed
}

// Replace takes in a full list, as after a gap in the store's history; servers that are not in it were removed.
func (r *Roster) Replace(now time.Time, list []Server) {
	present := map[ident.BackendServer]bool{}
	for _, s := range list {
		present[s.ID] = true
		r.State(now, s)
	}
	for _, e := range r.List() {
		if !present[e.ID] {
			r.Remove(now, e.ID)
		}
	}
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
