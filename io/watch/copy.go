package watch

import (
	"context"
	"time"
	"unicode/utf8"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	maxDeletions    = 512                     // number of deletions that are recorded for peers
	maxStoreSilence = 1200 * time.Millisecond // maximum age of a copy for a host that reads the store for peers
	maxCopyWait     = 700 * time.Millisecond  // how long a peer's request waits for a change
)

// storedItem is an item with the revision of its last relevant change. A registration that differs only in its Seq is not
// a relevant change.
type storedItem struct {
	Item
	contentRevision ident.Revision
}

// storeItem stores an item or records its deletion, and wakes waiting calls of Copy after a relevant change. The caller
// holds mu.
func (w *Watch) storeItem(i Item, known storedItem, changed bool) {
	if changed {
		close(w.changeCh)
		w.changeCh = make(chan struct{})
	}
	if !i.Deleted {
		next := storedItem{Item: i, contentRevision: known.contentRevision}
		if changed || next.contentRevision == 0 {
			next.contentRevision = i.Revision
		}
		w.items[i.Key] = next
		return
	}
	delete(w.items, i.Key)
	w.deletions = append(w.deletions, i)
	if extra := len(w.deletions) - maxDeletions; extra > 0 {
		w.droppedDeletions = w.deletions[extra-1].Revision
		w.deletions = w.deletions[extra:]
	}
}

// Copy returns the relevant changes of the store after the given revision, or all keys if after is 0 or the deletions
// since then are no longer recorded. Unless after is 0, it waits up to maxCopyWait for a change. ok is false while this
// host has no complete copy, or one of an earlier era of the store than after.
func (w *Watch) Copy(ctx context.Context, after ident.Revision) (c wire.Copy, ok bool) {
	w.mu.Lock()
	changeCh, wait := w.changeCh, after > 0 && !w.hasChangesAfter(after)
	w.mu.Unlock()
	if wait {
		timer := time.NewTimer(maxCopyWait)
		defer timer.Stop()
		select {
		case <-changeCh:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.changesAfter(after), w.loaded && w.revision.Era() >= after.Era()
}

// StoreFresh reports whether the last call to the store succeeded and this host's copy was confirmed as current within
// maxStoreSilence.
func (w *Watch) StoreFresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeLost && w.deps.Now().Sub(w.confirmedAt) <= maxStoreSilence
}

// hasChangesAfter reports whether there is a relevant change after the revision. The caller holds mu.
func (w *Watch) hasChangesAfter(after ident.Revision) bool {
	for _, i := range w.items {
		if i.contentRevision > after {
			return true
		}
	}
	return len(w.deletions) > 0 && w.deletions[len(w.deletions)-1].Revision > after
}

// changesAfter returns the relevant changes after the revision, or all keys. The caller holds mu.
func (w *Watch) changesAfter(after ident.Revision) wire.Copy {
	full := after == 0 || after < w.droppedDeletions || after.Era() != w.revision.Era()
	c := wire.Copy{Full: full, Revision: int(w.revision), Regained: w.deps.Now().Before(w.regainedUntil)}
	for _, i := range w.items {
		i, ok := w.storedValue(i)
		if !ok {
			continue
		}
		// Values that are not valid UTF-8 cannot be sent as text. They are left out, since they cannot be decoded either.
		if (c.Full || i.contentRevision > after) && utf8.Valid(i.Value) {
			c.Items = append(c.Items, wire.Item{Key: i.Key, Value: string(i.Value), Revision: int(i.Revision)})
		}
	}
	if c.Full {
		return c
	}
	for _, i := range w.deletions {
		if i.Revision > after {
			c.Items = append(c.Items, wire.Item{Key: i.Key, Revision: int(i.Revision), Deleted: true})
		}
	}
	return c
}

// storedValue returns an item as the store holds it, and false if the store has lost it: each host keeps lost values by
// itself. A lost configuration is passed on all the same, since versions of configurations never go back. The caller holds
// mu.
func (w *Watch) storedValue(i storedItem) (storedItem, bool) {
	lost, ok := w.lost[i.Key]
	if !ok {
		return i, true
	}
	if change, _ := w.decode(i.Item); change.Config != nil {
		return i, true
	}
	return storedItem{Item: lost, contentRevision: lost.Revision}, !lost.Deleted
}

// ApplyCopy applies a peer's copy of the store or its changes, unless this host's copy is at a later revision or of a later
// era. Changes alone cannot continue a copy of an earlier era. If the peer has recently regained the store, removals of
// servers are delayed here too.
func (w *Watch) ApplyCopy(c wire.Copy) {
	revision := ident.Revision(c.Revision)
	if c.Regained {
		w.roster.StoreRecovered(w.deps.Now())
	}
	if known := w.Revision(); revision < known || !c.Full && revision.Era() != known.Era() {
		return
	}
	items := make([]Item, len(c.Items))
	for n, i := range c.Items {
		items[n] = Item{Key: i.Key, Value: []byte(i.Value), Revision: ident.Revision(i.Revision), Deleted: i.Deleted}
	}
	if c.Full {
		w.deps.Log.Info("took a peer's copy of the store", "revision", c.Revision, "items", len(items))
		w.replaceAll(items, revision)
		return
	}
	w.applyItems(items, revision)
}
