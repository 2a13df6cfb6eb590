package watch

import (
	"unicode/utf8"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// Copy returns all that is known of the store, for a peer that cannot read it.
func (w *Watch) Copy() wire.Copy {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := wire.Copy{Full: true, Revision: int(w.revision)}
	for _, i := range w.items {
		if utf8.Valid(i.Value) { // what is not text cannot be decoded either
			c.Items = append(c.Items, wire.Item{Key: i.Key, Value: string(i.Value), Revision: int(i.Revision)})
		}
	}
	return c
}

// TakeCopy takes in what a peer knows of the store, unless as much is known here.
func (w *Watch) TakeCopy(c wire.Copy) {
	revision := ident.Revision(c.Revision)
	if revision <= w.Revision() {
		return
	}
	items := make([]Item, len(c.Items))
	for n, i := range c.Items {
		items[n] = Item{Key: i.Key, Value: []byte(i.Value), Revision: ident.Revision(i.Revision), Deleted: i.Deleted}
	}
	w.seams.Log.Info("took a peer's copy of the store", "revision", c.Revision, "items", len(items), "full", c.Full)
	if c.Full {
		w.replace(items, revision)
		return
	}
	w.take(items, revision)
}
