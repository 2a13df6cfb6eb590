package watch

import (
	"context"
	"time"
	"unicode/utf8"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	maxDeletions = 512                    // number of deletions that are recorded for peers
	maxCopyWait  = 700 * time.Millisecond // how long a peer's request waits for a change or a confirmation
)

// storedItem is an item with the revision of its last relevant change. A registration that differs only in its Seq is not
// a relevant change.
type storedItem struct {
	Item
	contentRevision ident.Revision
}

// wakePeers wakes waiting calls of Copy. The caller holds mu.
func (w *Watch) wakePeers() {
	close(w.changeCh)
	w.changeCh = make(chan struct{})
}

// storeItem stores an item or records its deletion. The caller holds mu.
func (w *Watch) storeItem(i Item, known storedItem, changed bool) {
	if !i.Deleted {
		next := storedItem{Item: i, contentRevision: known.contentRevision}
		if changed || next.contentRevision == 0 {
			next.contentRevision = i.Revision
		}
		w.items[i.Key] = next
		return
	}
	delete(w.items, i.Key)
	if len(i.Value) == 0 {
		i.Value = known.Value
	}
	w.deletions = append(w.deletions, i)
	if extra := len(w.deletions) - maxDeletions; extra > 0 {
		w.droppedDeletions = w.deletions[extra-1].Revision
		w.deletions = w.deletions[extra:]
	}
}

// Copy returns the relevant changes of the store after the given revision, or all keys if after is 0 or the deletions
// since then are no longer recorded. Unless after is 0, it waits up to maxCopyWait until there is a change or this host's copy
// was confirmed again. ok is false while this host has no complete copy, or one of an earlier era of the store than after.
func (w *Watch) Copy(ctx context.Context, after ident.Revision) (c wire.Copy, ok bool) {
	requestedAt := w.deps.Now()
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
	now := w.deps.Now()
	c = w.changesAfter(after)
	c.AgeMs, c.WaitedMs = milliseconds(now.Sub(w.confirmedAt)), milliseconds(now.Sub(requestedAt))
	return c, w.loaded && w.revision.Era() >= after.Era()
}

func milliseconds(d time.Duration) *int {
	ms := int(min(d, maxCopyAge).Milliseconds())
	return &ms
}

// maxCopyAge is the largest age that is told to peers.
const maxCopyAge = 24 * time.Hour

// Fresh reports whether this host's copy is complete and was confirmed within maxAge, and the last call to the store did not
// fail.
func (w *Watch) Fresh(maxAge time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.loaded && !w.storeLost && w.deps.Now().Sub(w.confirmedAt) <= maxAge
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
	c := wire.Copy{Full: full, Revision: int(w.revision)}
	w.stateCaution(&c)
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
			c.Items = append(c.Items, deletion(i))
		}
	}
	return c
}

// deletion returns a deletion with the last value of the key: readers are not told of registrations that differ in their Seq only, but
// must know the last one, so that an older one that a restore brings back does not count as new.
func deletion(i Item) wire.Item {
	d := wire.Item{Key: i.Key, Revision: int(i.Revision), Deleted: true}
	if utf8.Valid(i.Value) {
		d.Value = string(i.Value)
	}
	return d
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

// ApplyCopy applies a peer's copy of the store or its changes, which was requested at the given time, unless this host's copy
// is at a later revision or of a later era. Changes alone cannot continue a copy of an earlier era. If the peer is cautious after an
// outage, so is this host, unless it has missed nothing.
func (w *Watch) ApplyCopy(c wire.Copy, requestedAt time.Time) {
	revision := ident.Revision(c.Revision)
	w.adoptCaution(c, requestedAt)
	if known := w.Revision(); revision < known || !c.Full && revision.Era() != known.Era() {
		return
	}
	items := make([]Item, len(c.Items))
	for n, i := range c.Items {
		items[n] = Item{Key: i.Key, Value: []byte(i.Value), Revision: ident.Revision(i.Revision), Deleted: i.Deleted}
	}
	if c.Full {
		w.deps.Log.Info("took a peer's copy of the store", "revision", c.Revision, "items", len(items))
		w.replaceAll(items, revision, asOf(c, requestedAt))
		return
	}
	w.applyItems(items, revision, asOf(c, requestedAt))
}

// asOf returns a time at which the store had nothing later than a peer's copy. The copy was made no earlier than the peer
// has waited after the request, however long it was on its way. Peers of earlier builds state no age; they read the store
// or refuse.
func asOf(c wire.Copy, requestedAt time.Time) time.Time {
	if c.AgeMs == nil || c.WaitedMs == nil {
		return requestedAt
	}
	return madeAt(c, requestedAt).Add(-max(time.Duration(*c.AgeMs)*time.Millisecond, 0))
}
