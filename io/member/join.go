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

// nextIncarnation returns a start number above the one given; wall time keeps it rising over restarts.
func nextIncarnation(above int) int {
	return max(int(time.Now().UnixMilli()), above+1)
}

// join takes a seat, reading the table as it is now.
func (m *Member) join(ctx context.Context) error {
	if err := m.readTable(ctx); err != nil {
		return err
	}
	m.mu.Lock()
	t, revision, hello := m.table, m.tableRevision, m.hello
	m.mu.Unlock()
	if revision == 0 {
		t = seat.NewTable()
	}
	if s, ok := seat.Find(t, m.self()); !ok || s.Incarnation != hello.Incarnation {
		if ok && s.Incarnation >= hello.Incarnation {
			m.mu.Lock()
			m.setIncarnation(nextIncarnation(s.Incarnation))
			m.lease.Load().SetTable(t)
			hello = m.hello
			m.mu.Unlock()
		}
		next, err := seat.Join(time.Now(), t, hello)
		if err != nil {
			return err
		}
		if err := m.takeSeat(ctx, next, revision); err != nil {
			return err
		}
	}
	m.seams.Book.Reset() // a table that was on its way when the seat was lost may have come after
	m.mu.Lock()
	m.joined = true
	t, revision = m.table, m.tableRevision
	m.mu.Unlock()
	m.seams.Log.Info("seat taken", "host", hello.Host, "incarnation", hello.Incarnation, "generation", t.Generation)
	m.seams.Book.SetTable(time.Now(), t, ident.Revision(revision))
	return nil
}

// takeSeat writes the table with this host's seat, and its first renewal in the same step.
func (m *Member) takeSeat(ctx context.Context, t wire.SeatTable, revision int64) error {
	m.mu.Lock()
	m.round++
	renewal := m.renewalRecord()
	renewal.Generation = t.Generation
	m.mu.Unlock()
	value, err := json.Marshal(renewal)
	if err != nil {
		return merry.Wrap(err)
	}
	at, err := m.writeTable(ctx, t, revision, store.Write{Key: feed.RenewalKey(renewal.Host), Value: value})
	if err != nil {
		return err
	}
	m.setOwn(at)
	return nil
}

// Leave gives up the seat once this host's work has ended; handedOver tells that other hosts have its records of runs.
func (m *Member) Leave(ctx context.Context, handedOver bool) error {
	m.mu.Lock()
	m.left = true
	incarnation := ident.Incarnation(m.hello.Incarnation)
	m.mu.Unlock()
	m.seams.Book.Reset()
	for ctx.Err() == nil {
		m.mu.Lock()
		t, revision := m.table, m.tableRevision
		m.mu.Unlock()
		next, err := seat.Leave(time.Now(), t, m.self(), incarnation, handedOver)
		if err != nil {
			return nil
		}
		_, err = m.writeTable(ctx, next, revision, store.Write{Key: feed.RenewalKey(m.hello.Host), Delete: true})
		if err == nil || !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return merry.Wrap(ctx.Err())
}
