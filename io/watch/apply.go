package watch

import (
	"jayshift/core/ident"
	"jayshift/core/table"
)

// replace takes in all keys of the store; keys that are missing were deleted.
func (w *Watch) replace(items []Item, revision ident.Revision) {
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
	}
	w.mu.Lock()
	for key, known := range w.items {
		if !present[key] && known.Revision <= revision {
			items = append(items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	w.loaded = true
	w.mu.Unlock()
	w.take(items, revision)
}

// take applies changes in the order given.
func (w *Watch) take(items []Item, revision ident.Revision) {
	w.mu.Lock()
	changed := false
	for _, i := range items {
		changed = w.apply(i) || changed
	}
	w.revision = max(w.revision, revision)
	w.fresh = w.seams.Now()
	w.mu.Unlock()
	if changed {
		w.seams.Changed()
	}
}

// apply takes in one key, and tells whether it changed anything that matters. The lock is held.
func (w *Watch) apply(i Item) bool {
	known, ok := w.items[i.Key]
	if ok && i.Revision <= known.Revision || !ok && i.Deleted {
		return false
	}
	changed := w.decode(i)
	w.hold(i, known, changed)
	return changed
}

// decode takes in what a key says. The lock is held.
func (w *Watch) decode(i Item) (changed bool) {
	if own, err := w.takeOwn(i); own {
		w.complain(i, err)
		return true
	}
	change, err := w.seams.Decode(i)
	w.complain(i, err)
	return w.change(change)
}

func (w *Watch) complain(i Item, err error) {
	if err != nil {
		w.seams.Log.Warn("value in the store left out", "key", i.Key, "revision", int64(i.Revision), "error", err.Error())
	}
}

// change applies a decoded change. The lock is held.
func (w *Watch) change(c Change) bool {
	now := w.seams.Now()
	switch {
	case c.Table != nil:
		return w.setTable(c.Table)
	case c.Server != nil:
		c.Server.Region = w.seams.Regions[c.Server.Zone]
		return w.roster.Register(now, *c.Server)
	case c.Removed != "":
		w.roster.Remove(now, c.Removed)
	case c.Order != nil:
		w.orders[c.Order.Service] = *c.Order
		w.seams.Log.Info("move ordered", "service", string(c.Order.Service), "to", string(c.Order.To), "within", c.Order.Within)
	case c.Withdrawn != "":
		delete(w.orders, c.Withdrawn)
	case c.Verdict != nil:
		w.verdicts[c.Verdict.Service] = *c.Verdict
	case c.Evacuated != "":
		w.evacuated[c.Evacuated] = true
		w.seams.Log.Info("availability zone evacuated", "zone", string(c.Evacuated))
	case c.Repopulate != "":
		delete(w.evacuated, c.Repopulate)
		w.repopulate[c.Repopulate] = now
		w.seams.Log.Info("evacuation over", "zone", string(c.Repopulate))
	default:
		return false
	}
	return true
}

// setTable takes in a configuration; earlier versions than the one in force never replace it.
func (w *Watch) setTable(c *table.Config) bool {
	if w.table != nil && c.Version <= w.table.Version {
		return false
	}
	w.table = table.New(*c)
	w.seams.Log.Info("configuration in force", "version", int64(c.Version), "routes", len(c.Routes), "teams", len(c.Teams))
	return true
}
