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
	mustNotExist     = -1 // expected revision of a resource that must not exist
	maxWriteAttempts = 8
	maxWriteIDs      = 64              // write IDs stored in the head
	catchUpTimeout   = 2 * time.Second // for this host to read the store's newest revision
	maxPartResources = 100             // resources in one transaction
	maxPartBytes     = 700_000         // JSON size of the resources in one transaction, before base64 adds a third
)

// ErrRevisionMismatch means that a resource does not have the revision that the operator expected.
var ErrRevisionMismatch = merry.Sentinel("resource has changed")

// Write checks the changes together against the newest configuration and stores them. Changes that fit into one
// transaction are stored atomically. Others are stored in several parts, in an order that makes each part valid without
// the later ones, so that an error may leave the first parts stored. If the revision of a change is above zero, the
// resource must have that revision. If it is mustNotExist, the resource must not exist. Errors are config.ErrInvalid,
// ErrRevisionMismatch, or errors of the store.
func (a *API) Write(ctx context.Context, changes []wire.Resource) (ident.Revision, error) {
	parts := splitParts(changes)
	if len(parts) > 1 {
		s, _, _, err := a.latestSnapshot(ctx)
		if err != nil {
			return 0, err
		}
		if err := config.Check(s, a.setComputedFields(s, changes)); err != nil {
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

// kindOrder lists each kind of resource after the kinds that it refers to.
var kindOrder = []string{
	config.KindRegion, config.KindAvailabilityZone, config.KindSite, config.KindService, config.KindTeam, config.KindKey,
	config.KindBackendServer, config.KindLink, config.KindShift, config.KindClientBlocks, config.KindDrain,
}

// splitParts splits the changes into parts that each fit into one transaction.
func splitParts(changes []wire.Resource) [][]wire.Resource {
	ordered := slices.Clone(changes)
	slices.SortStableFunc(ordered, func(x, y wire.Resource) int { return writeOrder(x) - writeOrder(y) })
	var parts [][]wire.Resource
	size := maxPartBytes
	for _, r := range ordered {
		n := sizeOf(r)
		if last := len(parts) - 1; last >= 0 && size+n <= maxPartBytes && len(parts[last]) < maxPartResources {
			parts[last] = append(parts[last], r)
			size += n
			continue
		}
		parts = append(parts, []wire.Resource{r})
		size = n
	}
	return parts
}

// writeOrder returns the sort key of a change: resources come after those that they refer to, and deletions come last,
// in reverse order.
func writeOrder(r wire.Resource) int {
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

// writePart checks and stores the changes in one transaction. It starts again if the configuration changes meanwhile.
func (a *API) writePart(ctx context.Context, changes []wire.Resource) (ident.Revision, error) {
	for range maxWriteAttempts {
		s, h, headRevision, err := a.latestSnapshot(ctx)
		if err != nil {
			return 0, err
		}
		if err := checkRevisions(s, changes); err != nil {
			return 0, err
		}
		completed := a.setComputedFields(s, changes)
		if err := config.Check(s, completed); err != nil {
			return 0, err
		}
		revision, err := a.commit(ctx, completed, h, headRevision)
		if err == nil {
			a.deps.Log.Info("configuration written", "revision", int64(revision), "changes", len(changes))
		}
		if !errors.Is(err, store.ErrConflict) {
			return revision, err
		}
	}
	return 0, store.ErrConflict
}

// latestSnapshot waits until this host's configuration has the revision of the head in the store. It returns the
// configuration, the head and the revision. After catchUpTimeout it returns store.ErrUnavailable.
func (a *API) latestSnapshot(ctx context.Context) (*config.Snapshot, feed.Head, int64, error) {
	deadline := time.Now().Add(catchUpTimeout)
	for {
		_, found, err := a.deps.Store.Txn(ctx, nil, nil, []string{feed.HeadKey})
		if err != nil {
			return nil, feed.Head{}, 0, err
		}
		var h feed.Head
		headRevision := int64(0)
		if len(found) > 0 {
			headRevision = found[0].ModRevision
			_ = json.Unmarshal(found[0].Value, &h)
		}
		s := a.deps.Snapshot()
		if int64(s.Revision) == headRevision {
			return s, h, headRevision, nil
		}
		if time.Now().After(deadline) {
			return nil, feed.Head{}, 0, merry.Prepend(store.ErrUnavailable, "this host lags behind the store")
		}
		time.Sleep(pollInterval)
	}
}

// checkRevisions returns ErrRevisionMismatch if a resource does not have the revision that its change expects.
func checkRevisions(s *config.Snapshot, changes []wire.Resource) error {
	for _, c := range changes {
		old, ok := s.Get(config.IDOf(c))
		switch {
		case c.Revision == mustNotExist && ok:
			return merry.Prependf(ErrRevisionMismatch, "%s %q exists", c.Kind, c.Name)
		case c.Revision > 0 && old.Revision != c.Revision:
			return merry.Prependf(ErrRevisionMismatch, "%s %q is at revision %d", c.Kind, c.Name, old.Revision)
		}
	}
	return nil
}

// setComputedFields returns copies of the changes with the number of partitions and the home partition set.
func (a *API) setComputedFields(s *config.Snapshot, changes []wire.Resource) []wire.Resource {
	completed := slices.Clone(changes)
	current := s
	for i := range completed {
		r := &completed[i]
		config.SetPartitions(s, r)
		if r.BackendServer != nil && !r.Deleted {
			b := *r.BackendServer
			b.Home = a.homePartition(current, r, b)
			r.BackendServer = &b
		}
		if r.Deleted || config.ContentOf(*r) != nil {
			current = current.With(current.Revision, []wire.Resource{*r})
		}
	}
	return completed
}

// homePartition returns the home partition of a backend server, which stays the same once set.
func (a *API) homePartition(s *config.Snapshot, r *wire.Resource, b wire.BackendServer) int {
	old, ok := s.Get(config.IDOf(*r))
	if ok && old.BackendServer != nil && old.BackendServer.Home > 0 {
		return old.BackendServer.Home
	}
	return a.deps.HomePartition(s.RegionOf(ident.AvailabilityZone(b.AvailabilityZone)), s)
}

// commit writes the changes if the head still has the given revision. If the store's response is lost, it reads the
// head to find out whether the changes were stored.
func (a *API) commit(ctx context.Context, changes []wire.Resource, h feed.Head, headRevision int64) (ident.Revision, error) {
	id := store.NewWriteID()
	h.Writes = append(h.Writes, id)
	h.Writes = h.Writes[max(0, len(h.Writes)-maxWriteIDs):]
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
	revision, _, err := a.deps.Store.Txn(ctx, []store.Compare{{Key: feed.HeadKey, Revision: headRevision}}, writes, nil)
	if !errors.Is(err, store.ErrUnavailable) {
		return ident.Revision(revision), err
	}
	return a.resolveOutcome(ctx, id, headRevision, err)
}

// resolveOutcome reads the head to find out whether a write was stored whose response was lost. An unchanged head means
// that the write is not stored yet. The write may still arrive at the store, where its compare fails only if the head
// changes first, so an error tells the operator to apply the changes again. If the head cannot be read, the outcome is
// unknown.
func (a *API) resolveOutcome(ctx context.Context, id string, headRevision int64, cause error) (ident.Revision, error) {
	_, found, err := a.deps.Store.Txn(ctx, nil, nil, []string{feed.HeadKey})
	if err != nil || len(found) == 0 {
		return 0, merry.Prepend(cause, "outcome unknown")
	}
	var h feed.Head
	if json.Unmarshal(found[0].Value, &h) == nil && slices.Contains(h.Writes, id) {
		return ident.Revision(found[0].ModRevision), nil
	}
	if found[0].ModRevision == headRevision {
		return 0, merry.Prepend(cause, "not stored yet; apply again")
	}
	return 0, store.ErrConflict
}
