package feed

import (
	"context"
	"encoding/json"
	"reflect"

	"github.com/ansel1/merry/v2"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/store"
)

// maxRestoredPerWrite is the number of resources that one transaction writes again after a restore of the store.
const maxRestoredPerWrite = 100

// Head is the value of the key that every configuration change replaces.
type Head struct {
	Writes []string `json:"writes"` // IDs of the last writes
	// Carried is the revision, of an earlier era, up to which configurations were written again after the last restore of the
	// store from a copy. A host that knows a later one writes again what is missing.
	Carried ident.Revision `json:"carried,omitempty"`
}

// stored is the configuration as read from the store.
type stored struct {
	era       ident.Era
	revision  ident.Revision // of the head, 0 if there is none
	head      Head
	resources []wire.Resource
}

// mustCarry reports whether the store was restored from a copy and may lack what this host knows.
func (f *Feed) mustCarry(s stored) bool {
	known := f.Snapshot().Revision
	return f.Loaded() && known != 0 && s.era > known.Era() && s.head.Carried < known
}

// carry writes again what a restored store has lost of the configuration that this host knows. It was acknowledged to
// operators, who do not write it again themselves. It returns store.ErrConflict if another host writes at the same time.
func (f *Feed) carry(ctx context.Context, s stored) error {
	known := f.Snapshot()
	writes := lostWrites(known, s.resources)
	f.log.Warn("store restored from a copy, writing again what it lost", "era", int64(s.era), "known", int64(known.Revision),
		"stored", int64(s.revision), "resources", len(writes))
	for {
		part := writes[:min(len(writes), maxRestoredPerWrite)]
		writes = writes[len(part):]
		if len(writes) == 0 {
			s.head.Carried = known.Revision
		}
		value, err := json.Marshal(s.head)
		if err != nil {
			return merry.Wrap(err)
		}
		compares := []store.Compare{{Key: HeadKey, Revision: int64(s.revision)}}
		revision, _, err := f.store.Txn(ctx, compares, append([]store.Write{{Key: HeadKey, Value: value}}, part...), nil)
		if err != nil || len(writes) == 0 {
			return err
		}
		s.revision = ident.Revision(revision)
	}
}

// lostWrites returns the writes that bring the stored resources to the known ones. A stored resource that is not known was
// deleted if its revision is one that the known configuration covers.
func lostWrites(known *config.Snapshot, list []wire.Resource) []store.Write {
	var writes []store.Write
	byID := map[config.ResourceID]wire.Resource{}
	for _, r := range list {
		byID[config.ResourceID{Kind: r.Kind, Name: r.Name}] = r
	}
	for _, r := range known.Resources() {
		old, ok := byID[config.ResourceID{Kind: r.Kind, Name: r.Name}]
		if ok && (sameContent(old, r) || ident.Revision(old.Revision).Number() > ident.Revision(r.Revision).Number()) {
			continue
		}
		value, err := json.Marshal(withoutRevisions(r))
		if err == nil {
			writes = append(writes, store.Write{Key: ResourceKey(r.Kind, r.Name), Value: value})
		}
	}
	for id, r := range byID {
		if _, ok := known.Get(id); !ok && ident.Revision(r.Revision).Number() <= known.Revision.Number() {
			writes = append(writes, store.Write{Key: ResourceKey(id.Kind, id.Name), Delete: true})
		}
	}
	return writes
}

func sameContent(a, b wire.Resource) bool {
	return reflect.DeepEqual(withoutRevisions(a), withoutRevisions(b))
}

func withoutRevisions(r wire.Resource) wire.Resource {
	r.Revision, r.Created = 0, 0
	return r
}
