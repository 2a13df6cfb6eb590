package admin

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

const (
	mustBeNew    = -1 // expected revision of a resource that must not exist
	writeTries   = 8
	keptWriteIDs = 64
	catchUpWait  = 2 * time.Second
	maxPart      = 100     // resources in one transaction
	maxPartBytes = 700_000 // bytes of resources in one transaction; base64 makes them a third larger
)

// ErrRevision means that a resource does not stand at the revision that the operator expected.
var ErrRevision = merry.Sentinel("resource has changed")

// head is the value that every configuration change replaces. The ids settle whether a write landed whose answer was lost.
type head struct {
	Writes []string `json:"writes"`
}

// Write checks the changes as a whole against the newest configuration and stores them, all or none up to the size
// of one transaction. Larger sets are stored in parts, in an order in which each part is valid by itself.
// A resource with a revision above zero must stand at it; mustBeNew requires that it does not exist.
func (a *Admin) Write(ctx context.Context, changes []wire.Resource) (ident.Revision, error) {
	parts := split(changes)
	if len(parts) > 1 {
		s, _, _, err := a.newest(ctx)
		if err != nil {
			return 0, err
		}
		if err := config.Check(s, a.fill(s, changes)); err != nil {
			return 0, err
		}
	}
	var revision ident.Revision
	for i, part := range parts {
		var err error
		if revision, err = a.writePart(ctx, part); err != nil {
			return 0, merry.Prependf(err, "part %d of %d", i+1, len(parts))
		}
	}
	return revision, nil
}

// kindOrder lists what is referred to before what refers to it.
var kindOrder = []string{
	config.KindRegion, config.KindAvailabilityZone, config.KindSite, config.KindService, config.KindTeam, config.KindKey,
	config.KindBackendServer, config.KindLink, config.KindShift, config.KindClientBlocks, config.KindDrain,
}

// split cuts the changes into parts that fit one transaction: one part when they all do.
func split(changes []wire.Resource) [][]wire.Resource {
	ordered := slices.Clone(changes)
	slices.SortStableFunc(ordered, func(x, y wire.Resource) int { return order(x) - order(y) })
	var parts [][]wire.Resource
	size := maxPartBytes
	for _, r := range ordered {
		n := sizeOf(r)
		if last := len(parts) - 1; last >= 0 && size+n <= maxPartBytes && len(parts[last]) < maxPart {
			parts[last] = append(parts[last], r)
			size += n
			continue
		}
		parts = append(parts, []wire.Resource{r})
		size = n
	}
	return parts
}

func order(r wire.Resource) int {
	i := slices.Index(kindOrder, r.Kind)
	if r.Deleted {
		return 2*len(kindOrder) - i
	}
	return i
}

func sizeOf(r wire.Resource) int {
	data, err := json.Marshal(r)
	if err != nil {
		return maxPartBytes
	}
	return len(data)
}

func (a *Admin) writePart(ctx context.Context, changes []wire.Resource) (ident.Revision, error) {
	for range writeTries {
		s, h, at, err := a.newest(ctx)
		if err != nil {
			return 0, err
		}
		if err := expected(s, changes); err != nil {
			return 0, err
		}
		filled := a.fill(s, changes)
		if err := config.Check(s, filled); err != nil {
			return 0, err
		}
		revision, err := a.store(ctx, filled, h, at)
		if err == nil {
			a.seams.Log.Info("configuration written", "revision", int64(revision), "changes", len(changes))
		}
		if !errors.Is(err, store.ErrConflict) {
			return revision, err
		}
	}
	return 0, store.ErrConflict
}

// newest waits until this host has the configuration that the store's head stands at.
func (a *Admin) newest(ctx context.Context) (*config.Snapshot, head, int64, error) {
	deadline := time.Now().Add(catchUpWait)
	for {
		_, found, err := a.seams.Store.Txn(ctx, nil, nil, []string{feed.HeadKey})
		if err != nil {
			return nil, head{}, 0, err
		}
		var h head
		at := int64(0)
		if len(found) > 0 {
			at = found[0].ModRevision
			_ = json.Unmarshal(found[0].Value, &h)
		}
		s := a.seams.Snapshot()
		if int64(s.Revision) == at {
			return s, h, at, nil
		}
		if time.Now().After(deadline) {
			return nil, head{}, 0, merry.Prepend(store.ErrUnavailable, "this host lags behind the store")
		}
		time.Sleep(watchPoll)
	}
}

func expected(s *config.Snapshot, changes []wire.Resource) error {
	for _, c := range changes {
		old, ok := s.Get(config.IDOf(c))
		switch {
		case c.Revision == mustBeNew && ok:
			return merry.Prependf(ErrRevision, "%s %q exists", c.Kind, c.Name)
		case c.Revision > 0 && old.Revision != c.Revision:
			return merry.Prependf(ErrRevision, "%s %q stands at revision %d", c.Kind, c.Name, old.Revision)
		}
	}
	return nil
}

// fill sets the computed fields on copies of the changes.
func (a *Admin) fill(s *config.Snapshot, changes []wire.Resource) []wire.Resource {
	filled := slices.Clone(changes)
	sofar := s
	for i := range filled {
		r := &filled[i]
		config.SetPartitions(s, r)
		if r.BackendServer != nil && !r.Deleted {
			b := *r.BackendServer
			b.Home = a.homeOf(sofar, r, b)
			r.BackendServer = &b
		}
		if r.Deleted || config.ContentOf(*r) != nil {
			sofar = sofar.With(sofar.Revision, []wire.Resource{*r})
		}
	}
	return filled
}

func (a *Admin) homeOf(s *config.Snapshot, r *wire.Resource, b wire.BackendServer) int {
	old, ok := s.Get(config.IDOf(*r))
	if ok && old.BackendServer != nil && old.BackendServer.Home > 0 {
		return old.BackendServer.Home
	}
	return a.seams.Homes(s.RegionOf(ident.AvailabilityZone(b.AvailabilityZone)), s)
}

// store writes the changes if the head has not moved. When the answer is lost, reading settles whether they landed.
func (a *Admin) store(ctx context.Context, changes []wire.Resource, h head, at int64) (ident.Revision, error) {
	id := store.NewWriteID()
	h.Writes = append(h.Writes, id)
	h.Writes = h.Writes[max(0, len(h.Writes)-keptWriteIDs):]
	value, err := json.Marshal(h)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	writes := []store.Write{{Key: feed.HeadKey, Value: value}}
	for _, c := range changes {
		w := store.Write{Key: feed.ResourceKey(c.Kind, c.Name), Delete: c.Deleted}
		if !c.Deleted {
			c.Revision, c.Created = 0, 0
			if w.Value, err = json.Marshal(c); err != nil {
				return 0, merry.Wrap(err)
			}
		}
		writes = append(writes, w)
	}
	revision, _, err := a.seams.Store.Txn(ctx, []store.Compare{{Key: feed.HeadKey, Revision: at}}, writes, nil)
	if !errors.Is(err, store.ErrUnavailable) {
		return ident.Revision(revision), err
	}
	return a.settle(ctx, id, at, err)
}

// settle reads the head to learn whether a write landed whose answer was lost.
// A head that has not moved means that the write did not land; it may still be on its way, and then fails its compare
// only if the head moves first, so the operator is told that the outcome is unknown.
func (a *Admin) settle(ctx context.Context, id string, at int64, lost error) (ident.Revision, error) {
	_, found, err := a.seams.Store.Txn(ctx, nil, nil, []string{feed.HeadKey})
	if err != nil || len(found) == 0 {
		return 0, merry.Prepend(lost, "outcome unknown")
	}
	var h head
	if json.Unmarshal(found[0].Value, &h) == nil && slices.Contains(h.Writes, id) {
		return ident.Revision(found[0].ModRevision), nil
	}
	if found[0].ModRevision == at {
		return 0, merry.Prepend(lost, "not stored yet; apply again")
	}
	return 0, store.ErrConflict
}
