package watch

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/table"
	"jayshift/io/panics"
)

// replaceAll applies a full list of the store's keys at the given revision, which the store had at the time asOf. If that is
// in a later era than the copy, the copy continues in that era.
func (w *Watch) replaceAll(items []Item, revision ident.Revision, asOf time.Time) {
	w.mu.Lock()
	if w.revision != 0 && revision.Era() > w.revision.Era() {
		items = w.beginEra(items, revision)
	} else {
		items = w.addDeletions(items, revision)
	}
	if !w.loaded {
		w.droppedDeletions = revision // what was deleted before is not known here
	}
	w.loaded, w.incomplete = true, false
	w.mu.Unlock()
	w.applyItems(items, revision, asOf)
}

// addDeletions adds deletions of the known keys that are missing from a full list at the given revision, unless they were
// written after it. The caller holds mu.
func (w *Watch) addDeletions(items []Item, revision ident.Revision) []Item {
	present := make(map[string]bool, len(items))
	for _, i := range items {
		present[i.Key] = true
	}
	for key, known := range w.items {
		if !present[key] && known.Revision <= revision {
			items = append(items, Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	return items
}

// applyItems applies changes in the given order and calls OnChange if any of them is relevant. The copy is complete up to
// the given revision afterwards, beyond which the store had nothing at the time asOf, zero if that is not known.
func (w *Watch) applyItems(items []Item, revision ident.Revision, asOf time.Time) {
	w.mu.Lock()
	changed := false
	for _, i := range items {
		changed = w.applyItem(i) || changed
	}
	w.revision = max(w.revision, revision)
	confirmed := asOf.After(w.confirmedAt)
	if confirmed {
		w.confirmedAt = asOf
	}
	if changed || confirmed {
		w.wakePeers()
	}
	w.mu.Unlock()
	if changed {
		w.deps.OnChange()
	}
}

// applyItem applies one key and reports whether that is a relevant change. An item that is not newer than the known one
// is ignored. The caller holds mu.
func (w *Watch) applyItem(i Item) bool {
	known, ok := w.items[i.Key]
	if ok && i.Revision <= known.Revision || !ok && i.Deleted {
		return false
	}
	delete(w.lost, i.Key)
	changed := w.decodeItem(i)
	w.storeItem(i, known, changed)
	return changed
}

// decodeItem decodes a key and applies its content. It logs a decoding error, but still applies a change that Decode
// returns along with the error. It reports whether the change is relevant. The caller holds mu.
func (w *Watch) decodeItem(i Item) (changed bool) {
	if handled, err := w.applyHostItem(i); handled {
		w.logIgnored(i, err)
		return true
	}
	change, err := w.decode(i)
	w.logIgnored(i, err)
	if change.RemovedServer != "" && len(i.Value) > 0 {
		w.recordLast(i)
	}
	return w.applyChange(change)
}

// recordLast records the last registration of a server that is removed, which a peer has stated with the removal.
func (w *Watch) recordLast(removal Item) {
	last, err := w.decode(Item{Key: removal.Key, Value: removal.Value, Revision: removal.Revision})
	if err == nil && last.Server != nil {
		w.roster.RecordLast(*last.Server)
	}
}

// decode calls Deps.Decode. A panic becomes an error.
func (w *Watch) decode(i Item) (change Change, err error) {
	if panicErr := panics.Catch(func() { change, err = w.deps.Decode(i) }); panicErr != nil {
		return Change{}, panicErr
	}
	return change, err
}

// logIgnored logs the error of a value that could not be decoded, if there is one.
func (w *Watch) logIgnored(i Item, err error) {
	if err != nil {
		w.deps.Log.Warn("value in the store left out", "key", i.Key, "revision", int64(i.Revision), "error", err.Error())
	}
}

// applyChange applies a decoded change and reports whether it is relevant. A registration that differs only in its Seq is
// not. The caller holds mu.
func (w *Watch) applyChange(c Change) bool {
	now := w.deps.Now()
	switch {
	case c.Config != nil:
		return w.setConfig(c.Config)
	case c.Server != nil:
		c.Server.Region = w.deps.RegionByZone[c.Server.Zone]
		return w.roster.Register(now, *c.Server)
	case c.RemovedServer != "":
		w.roster.Remove(now, c.RemovedServer)
	case c.Order != nil:
		w.orders[c.Order.Service] = *c.Order
		w.deps.Log.Info("move ordered", "service", string(c.Order.Service), "to", string(c.Order.To), "within", c.Order.Within)
	case c.WithdrawnOrder != "":
		delete(w.orders, c.WithdrawnOrder)
	case c.Status != nil:
		w.statuses[c.Status.Service] = *c.Status
	case c.EvacuatedZone != "":
		w.evacuated[c.EvacuatedZone] = true
		w.deps.Log.Info("availability zone evacuated", "zone", string(c.EvacuatedZone))
	case c.EvacuationEnded != "":
		delete(w.evacuated, c.EvacuationEnded)
		w.evacuationEndedAt[c.EvacuationEnded] = now
		w.deps.Log.Info("evacuation over", "zone", string(c.EvacuationEnded))
	default:
		return false
	}
	return true
}

// setConfig puts a configuration in force, unless the current one has the same or a later version. The caller holds mu.
func (w *Watch) setConfig(c *table.Config) bool {
	if w.table != nil && c.Version <= w.table.Version {
		return false
	}
	w.table = table.New(*c)
	w.deps.Log.Info("configuration in force", "version", int64(c.Version), "routes", len(c.Routes), "teams", len(c.Teams))
	return true
}
