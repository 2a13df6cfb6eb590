package watch

import (
	"context"
	"time"
	"unicode/utf8"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	keptDeletions = 512
	freshTime     = 1200 * time.Millisecond // after which a host that hears nothing from the store does not read for others
	answerTime    = 700 * time.Millisecond  // that a peer's question may be held while nothing changes
)

// held is a key with the revision of the last write that changed more than the number of a statement.
type held struct {
	Item
	meant ident.Revision
}

// hold keeps a key, or notes its deletion. The lock is held.
func (w *Watch) hold(i Item, known held, changed bool) {
	if changed {
		close(w.news)
		w.news = make(chan struct{})
	}
	if !i.Deleted {
		next := held{Item: i, meant: known.meant}
		if changed || next.meant == 0 {
			next.meant = i.Revision
		}
		w.items[i.Key] = next
		return
	}
	delete(w.items, i.Key)
	w.deletions = append(w.deletions, i)
	if extra := len(w.deletions) - keptDeletions; extra > 0 {
		w.floor = w.deletions[extra-1].Revision
		w.deletions = w.deletions[extra:]
	}
}

// Copy returns what has changed in the store after the revision; everything when that is not known any more. It waits a
// short while for a change. It fails when this host itself does not hear from the store.
func (w *Watch) Copy(ctx context.Context, after ident.Revision) (c wire.Copy, ok bool) {
	w.mu.Lock()
	news, waits := w.news, after > 0 && !w.changedAfter(after)
	w.mu.Unlock()
	if waits {
		timer := time.NewTimer(answerTime)
		defer timer.Stop()
		select {
		case <-news:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.copyAfter(after), w.loaded
}

// Fresh tells whether this host reads the store and heard from it lately.
func (w *Watch) Fresh() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.storeLost && w.seams.Now().Sub(w.fresh) <= freshTime
}

// changedAfter tells whether anything that matters changed after the revision. The lock is held.
func (w *Watch) changedAfter(after ident.Revision) bool {
	for _, i := range w.items {
		if i.meant > after {
			return true
		}
	}
	return len(w.deletions) > 0 && w.deletions[len(w.deletions)-1].Revision > after
}

// copyAfter lists what changed after the revision. The lock is held.
func (w *Watch) copyAfter(after ident.Revision) wire.Copy {
	c := wire.Copy{Full: after < w.floor || after == 0, Revision: int(w.revision), Regained: w.seams.Now().Before(w.regained)}
	for _, i := range w.items {
		// What is not text cannot be decoded either.
		if (c.Full || i.meant > after) && utf8.Valid(i.Value) {
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

// TakeCopy takes in what a peer knows of the store, unless as much is known here.
func (w *Watch) TakeCopy(c wire.Copy) {
	revision := ident.Revision(c.Revision)
	if c.Regained {
		w.roster.StoreRecovered(w.seams.Now())
	}
	if revision < w.Revision() {
		return
	}
	items := make([]Item, len(c.Items))
	for n, i := range c.Items {
		items[n] = Item{Key: i.Key, Value: []byte(i.Value), Revision: ident.Revision(i.Revision), Deleted: i.Deleted}
	}
	if c.Full {
		w.seams.Log.Info("took a peer's copy of the store", "revision", c.Revision, "items", len(items))
		w.replace(items, revision)
		return
	}
	w.take(items, revision)
}
