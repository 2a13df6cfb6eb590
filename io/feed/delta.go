package feed

import (
	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
)

// Delta returns the changes after a revision for a peer, or the full configuration if the history does not go back that
// far.
func (f *Feed) Delta(after ident.Revision) wire.Delta {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.current.Load()
	if after < f.historyStart || after == 0 || after.Era() != s.Revision.Era() {
		return wire.Delta{Revision: int(s.Revision), Carried: int(f.carried), Resources: s.Resources()}
	}
	var list []wire.Resource
	for _, r := range f.history {
		if ident.Revision(r.Revision) > after {
			list = append(list, r)
		}
	}
	return wire.Delta{Base: int(after), Revision: int(s.Revision), Resources: list}
}

// ApplyDelta applies a delta or a full configuration from a peer. It returns ErrRevisionGap if the delta starts at a
// later revision than the current snapshot. A configuration of a later era of the store is not applied if this host knows
// more than was written again there: the host must first write that itself.
func (f *Feed) ApplyDelta(d wire.Delta) error {
	revision, carried := ident.Revision(d.Revision), ident.Revision(d.Carried)
	if f.mustCarry(stored{era: revision.Era(), head: Head{Carried: carried}}) {
		f.RequestReload()
		return nil
	}
	if d.Base == 0 {
		f.replaceSnapshot(config.New(revision, d.Resources), carried)
		return nil
	}
	if ident.Revision(d.Base) > f.Snapshot().Revision {
		return ErrRevisionGap
	}
	f.applyChanges(revision, d.Resources)
	return nil
}
