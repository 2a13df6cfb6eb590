package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

// SetTable applies a seat table that was written at the given store revision. Older revisions are ignored. A restored store
// may hold a table of an older generation than the one that this host knows: that one stays in use and is to be written again.
func (m *Member) SetTable(t wire.SeatTable, revision ident.Revision) {
	m.mu.Lock()
	m.observeEra(revision)
	if int64(revision) <= m.tableRevision {
		m.mu.Unlock()
		return
	}
	if t.Generation < m.table.Generation {
		m.olderTable = int64(revision)
		m.mu.Unlock()
		return
	}
	m.olderTable = 0
	m.table = t
	m.tableRevision = int64(revision)
	m.checkSeat(t)
	joined := m.joined
	m.mu.Unlock()
	if joined {
		m.deps.Registry.SetTable(time.Now(), t, revision)
	}
	m.updatePeers()
}

// checkSeat checks that the table still has this host's seat, unmarked. If it does not, checkSeat discards the host's
// shares of limits and starts a new incarnation. The caller holds mu.
func (m *Member) checkSeat(t wire.SeatTable) {
	m.lease.Load().SetTable(t)
	if !m.joined || m.left {
		return
	}
	s, ok := seat.Find(t, m.self())
	if ok && s.Mark == 0 && s.Incarnation == m.hello.Incarnation {
		return
	}
	m.deps.Log.Warn("seat lost", "host", m.hello.Host, "generation", t.Generation)
	m.deps.Registry.Reset()
	m.setIncarnation(nextIncarnation(max(m.hello.Incarnation, s.Incarnation)))
	m.lease.Load().SetTable(t)
}

// updatePeers sets the peers of the mesh to the other hosts in the seat table, or to the seeds while no table is known.
func (m *Member) updatePeers() {
	m.mu.Lock()
	addresses := map[ident.Host]string{}
	for _, s := range m.table.Seats {
		addresses[ident.Host(s.Host)] = s.LinkAddress
	}
	if len(addresses) == 0 {
		for h, a := range m.seeds {
			addresses[h] = a
		}
	}
	delete(addresses, m.self())
	m.mu.Unlock()
	m.deps.Mesh.SetPeers(addresses)
}

// readTable reads the current table from the store and applies it.
func (m *Member) readTable(ctx context.Context) error {
	revision, kvs, err := m.deps.Store.Txn(ctx, nil, nil, []string{feed.TableKey})
	if err != nil {
		return err
	}
	m.noteMissingTable(ident.Revision(revision), kvs)
	m.applyTable(kvs)
	return nil
}

// applyTable applies the seat table among the keys that a transaction read, if there is one.
func (m *Member) applyTable(kvs []store.KV) {
	for _, kv := range kvs {
		if string(kv.Key) != feed.TableKey {
			continue
		}
		var t wire.SeatTable
		if err := json.Unmarshal(kv.Value, &t); err == nil {
			m.SetTable(t, ident.Revision(kv.ModRevision))
		}
	}
}

// writeTable replaces the table if it is still at the given revision, writes other keys in the same transaction, and
// returns the revision of the write. If the answer is lost, it reads the table back to find out whether the write
// succeeded. The error is store.ErrConflict if another host has changed the table.
func (m *Member) writeTable(ctx context.Context, t wire.SeatTable, revision int64, extraWrites ...store.Write) (int64, error) {
	if !m.mayChangeTable(time.Now()) {
		return 0, errSettling
	}
	return m.putTable(ctx, t, revision, extraWrites...)
}

// putTable is writeTable without the wait after a restore of the store.
func (m *Member) putTable(ctx context.Context, t wire.SeatTable, revision int64, extraWrites ...store.Write) (int64, error) {
	t.WriteId = store.NewWriteID()
	value, err := json.Marshal(t)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	compares := []store.Compare{{Key: feed.TableKey, Revision: revision}}
	writes := append([]store.Write{{Key: feed.TableKey, Value: value}}, extraWrites...)
	newRevision, kvs, err := m.deps.Store.Txn(ctx, compares, writes, []string{feed.TableKey})
	if err == nil {
		m.SetTable(t, ident.Revision(newRevision))
		return newRevision, nil
	}
	m.applyTable(kvs)
	if !errors.Is(err, store.ErrUnavailable) {
		return 0, err
	}
	if readErr := m.readTable(ctx); readErr != nil {
		return 0, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.table.WriteId == t.WriteId {
		return m.tableRevision, nil
	}
	return 0, err
}

// releasePartitions hands over the partitions that this host was asked to release and no longer uses.
func (m *Member) releasePartitions(ctx context.Context) error {
	partitions := m.deps.Registry.Releasable(time.Now())
	if len(partitions) == 0 {
		return nil
	}
	t, revision := m.tableToChange()
	_, err := m.writeTable(ctx, seat.Release(t, m.self(), partitions), revision)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, errSettling) {
		return nil
	}
	return err
}
