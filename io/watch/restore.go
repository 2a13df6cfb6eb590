package watch

import (
	"bytes"
	"time"

	"jayshift/core/ident"
)

// rewriteTime is how long after a restore of the store from a copy operators, backend servers and hosts may take to write
// again what the store has lost.
const rewriteTime = 5 * time.Second

// beginEra makes the copy continue in a new era of the store, given a full list of its keys at the revision. It returns the
// items to apply. A key that the store has lost, or holds with an older value, keeps the value that this host knows until
// it is written again or rewriteTime has passed: the loss is nobody's decision. Backend servers that are missing are
// removed as after any other outage. The caller holds mu.
func (w *Watch) beginEra(items []Item, revision ident.Revision) []Item {
	now := w.deps.Now()
	present := make(map[string]bool, len(items))
	var current []Item
	w.lost = map[string]Item{}
	for _, i := range items {
		present[i.Key] = true
		if known, ok := w.items[i.Key]; ok && w.isOlderValue(i, known.Item) {
			w.lost[i.Key] = i
			continue
		}
		current = append(current, i)
	}
	for key := range w.items {
		if present[key] {
			continue
		}
		missing := Item{Key: key, Revision: revision, Deleted: true}
		if change, _ := w.decode(missing); change.RemovedServer != "" {
			current = append(current, missing)
			continue
		}
		w.lost[key] = missing
	}
	w.deps.Log.Warn("store restored from a copy", "era", int64(revision.Era()), "revision", revision.Number(),
		"era-before", int64(w.revision.Era()), "revision-before", w.revision.Number(), "keys", len(items), "lost", len(w.lost))
	w.deletions, w.droppedDeletions = nil, revision
	w.rewriteUntil = now.Add(rewriteTime)
	w.beCautious(caution{failedAt: now, until: now.Add(removalDelay)})
	return current
}

// isOlderValue reports whether a restored store holds an older value of a key than this host knows. Configurations and
// registrations of backend servers tell by themselves which one is older. Of other keys, a value with a lower revision counts
// as older, although the key may have been written between the restore and the read. The caller holds mu.
func (w *Watch) isOlderValue(i, known Item) bool {
	change, _ := w.decode(i)
	switch {
	case change.Config != nil:
		return w.table != nil && change.Config.Version < w.table.Version
	case change.Server != nil:
		return false
	}
	return i.Revision.Number() < known.Revision.Number() && !bytes.Equal(i.Value, known.Value)
}

// endRewriting applies what the store holds in place of the keys that it has lost and that were not written again within
// rewriteTime. It reports whether there were any.
func (w *Watch) endRewriting() bool {
	w.mu.Lock()
	if w.rewriteUntil.IsZero() || w.deps.Now().Before(w.rewriteUntil) {
		w.mu.Unlock()
		return false
	}
	w.rewriteUntil = time.Time{}
	lost := make([]Item, 0, len(w.lost))
	for _, i := range w.lost {
		lost = append(lost, i)
	}
	revision := w.revision
	w.mu.Unlock()
	for _, i := range lost {
		w.deps.Log.Warn("key not written again after the restore of the store", "key", i.Key, "deleted", i.Deleted, "revision", int64(i.Revision))
	}
	w.applyItems(lost, revision, time.Time{})
	return len(lost) > 0
}

// Rewriting reports whether the store was restored from a copy within rewriteTime, so that keys may be written again that
// are no new decisions.
func (w *Watch) Rewriting() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.deps.Now().Before(w.rewriteUntil)
}

// StoredRevision returns the revision of a key as the store holds it in its current era, or 0 if the store lacks the key.
// It differs from the revision of the known value if the store has lost that.
func (w *Watch) StoredRevision(key string) ident.Revision {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.storedRevision(key)
}

// storedRevision is StoredRevision for a caller that holds mu.
func (w *Watch) storedRevision(key string) ident.Revision {
	if lost, ok := w.lost[key]; ok {
		if lost.Deleted {
			return 0
		}
		return lost.Revision
	}
	return w.items[key].Revision
}
