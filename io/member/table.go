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

// SetTable takes in a seat table that stands at a store revision.
func (m *Member) SetTable(t wire.SeatTable, revision ident.Revision) {
	m.mu.Lock()
	if int64(revision) <= m.tableRevision {
		m.mu.Unlock()
		return
	}
	m.table = t
	m.tableRevision = int64(revision)
	m.follow(t)
	joined := m.joined
	m.mu.Unlock()
	if joined {
		m.seams.Book.SetTable(time.Now(), t, revision)
	}
	m.relink()
}

// follow compares the table with this host's seat; a host that lost its seat forgets its shares and starts over.
func (m *Member) follow(t wire.SeatTable) {
	m.lease.Load().SetTable(t)
	if !m.joined || m.left {
		return
	}
	s, ok := seat.Find(t, m.self())
	if ok && s.Mark == 0 && s.Incarnation == m.hello.Incarnation {
		return
	}
	m.seams.Log.Warn("seat lost", "host", m.hello.Host, "generation", t.Generation)
	m.seams.Book.Reset()
	m.setIncarnation(nextIncarnation(max(m.hello.Incarnation, s.Incarnation)))
	m.lease.Load().SetTable(t)
}

// relink sets the mesh's peers to the seated hosts, or to the seeds while no table is known.
func (m *Member) relink() {
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
	m.seams.Mesh.SetPeers(addresses)
}

// readTable reads the table as it is now.
func (m *Member) readTable(ctx context.Context) error {
	_, found, err := m.seams.Store.Txn(ctx, nil, nil, []string{feed.TableKey})
	if err != nil {
		return err
	}
	m.adopt(found)
	return nil
}

// adopt takes in a table that a transaction read.
func (m *Member) adopt(found []store.KV) {
	for _, kv := range found {
		if string(kv.Key) != feed.TableKey {
			continue
		}
		var t wire.SeatTable
		if err := json.Unmarshal(kv.Value, &t); err == nil {
			m.SetTable(t, ident.Revision(kv.ModRevision))
		}
	}
}

// writeTable replaces the table that stands at the revision, with other keys in the same step, and returns the revision
// of that step. When the answer is lost, a read settles whether it landed.
func (m *Member) writeTable(ctx context.Context, t wire.SeatTable, revision int64, others ...store.Write) (int64, error) {
	t.WriteId = store.NewWriteID()
	value, err := json.Marshal(t)
	if err != nil {
		return 0, merry.Wrap(err)
	}
	compares := []store.Compare{{Key: feed.TableKey, Revision: revision}}
	writes := append([]store.Write{{Key: feed.TableKey, Value: value}}, others...)
	at, found, err := m.seams.Store.Txn(ctx, compares, writes, []string{feed.TableKey})
	if err == nil {
		m.SetTable(t, ident.Revision(at))
		return at, nil
	}
	m.adopt(found)
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

// release hands over the partitions that are no longer needed here.
func (m *Member) release(ctx context.Context) error {
	partitions := m.seams.Book.Releasable(time.Now())
	if len(partitions) == 0 {
		return nil
	}
	m.mu.Lock()
	t, revision := m.table, m.tableRevision
	m.mu.Unlock()
	_, err := m.writeTable(ctx, seat.Release(t, m.self(), partitions), revision)
	if errors.Is(err, store.ErrConflict) {
		return nil
	}
	return err
}
