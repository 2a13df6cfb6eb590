package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

// noTable is the value of Member.olderTable if a restored store holds no seat table.
const noTable = -1

// errSettling means that the seat table may not be changed yet, since the store was restored from a copy.
var errSettling = merry.Prepend(store.ErrUnavailable, "the store was restored, hosts write the seat table again")

// observeEra records the era of a revision that was read. In a new era the table may be changed only after settleTime: until
// then, each host that reaches the store and knows a later table writes it again, and the leases of those that do not reach
// it end. The caller holds mu.
func (m *Member) observeEra(revision ident.Revision) {
	if era := revision.Era(); era > m.era {
		m.era = era
		m.settleUntil = time.Now().Add(m.leaseTiming.IsolationLimit + m.leaseTiming.ClockDrift + m.renewalInterval)
		m.deps.Log.Info("era of the store", "era", int64(era), "generation", m.table.Generation)
	}
}

// generationBase returns the lowest generation of tables that are changed in an era, so that generations do not go back.
func generationBase(era ident.Era) int { return int(ident.NewRevision(era, 1)) - 1 }

// mayChangeTable reports whether the seat table may be changed: it was changed in this era before, or hosts have had the time
// to write it again.
func (m *Member) mayChangeTable(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tableRevision == 0 && m.olderTable == 0 || m.table.Generation >= generationBase(m.era) || !now.Before(m.settleUntil)
}

// tableToChange returns the known table, in a generation of the current era, and its revision.
func (m *Member) tableToChange() (wire.SeatTable, int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table
	t.Generation = max(t.Generation, generationBase(m.era))
	return t, m.tableRevision
}

// noteMissingTable records that a restored store, read at the revision, holds no seat table although this host knows one.
func (m *Member) noteMissingTable(revision ident.Revision, kvs []store.KV) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeEra(revision)
	for _, kv := range kvs {
		if string(kv.Key) == feed.TableKey {
			return
		}
	}
	if m.tableRevision != 0 && revision.Era() > ident.Revision(m.tableRevision).Era() {
		m.olderTable = noTable
	}
}

// restoreTable writes the known table again if a restored store holds an older one or none. The renewal keys of marked seats
// are rewritten with it, so that the renewals of these hosts fail as before.
func (m *Member) restoreTable(ctx context.Context) error {
	m.mu.Lock()
	t, older := m.table, m.olderTable
	m.mu.Unlock()
	if older == 0 {
		return nil
	}
	m.deps.Log.Warn("store restored from a copy, writing the seat table again", "generation", t.Generation, "stored", older)
	_, err := m.putTable(ctx, t, max(older, 0), markWrites(t)...)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrNewEra) {
		return m.readTable(ctx)
	}
	return err
}

// markWrites returns writes of the renewal keys of all marked seats.
func markWrites(t wire.SeatTable) []store.Write {
	var writes []store.Write
	for _, s := range t.Seats {
		if s.Mark == 0 {
			continue
		}
		renewal := wire.Renewal{Host: s.Host, Incarnation: s.Incarnation, WriteId: store.NewWriteID()}
		if value, err := json.Marshal(renewal); err == nil {
			writes = append(writes, store.Write{Key: feed.RenewalKey(s.Host), Value: value})
		}
	}
	return writes
}

// forgetLostRenewal reports whether this host's last renewal was made in an earlier era than the revision. The next renewal
// then creates its key, unless the store holds one.
func (m *Member) forgetLostRenewal(revision ident.Revision) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.renewalRevision == 0 || revision.Era() <= ident.Revision(m.renewalRevision).Era() {
		return false
	}
	m.renewalRevision = 0
	return true
}
