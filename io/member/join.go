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

// nextIncarnation returns an incarnation greater than the previous one. It is taken from the wall clock, in Unix
// milliseconds, so that it also increases across restarts.
func nextIncarnation(previous int) int {
	return max(int(time.Now().UnixMilli()), previous+1)
}

// join reads the current seat table and takes a seat in it, unless this incarnation has one already.
func (m *Member) join(ctx context.Context) error {
	if err := m.readTable(ctx); err != nil {
		return err
	}
	t, revision := m.tableToChange()
	hello := m.Hello()
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
	m.deps.Registry.Reset() // a concurrent SetTable may have updated the registry after the reset at the loss of the seat
	m.mu.Lock()
	m.joined = true
	t, revision = m.table, m.tableRevision
	m.mu.Unlock()
	m.deps.Log.Info("seat taken", "host", hello.Host, "incarnation", hello.Incarnation, "generation", t.Generation)
	m.deps.Registry.SetTable(time.Now(), t, ident.Revision(revision))
	return nil
}

// takeSeat writes the table with this host's seat and the host's first renewal in one transaction.
func (m *Member) takeSeat(ctx context.Context, t wire.SeatTable, revision int64) error {
	m.mu.Lock()
	m.round++
	renewal := m.newRenewal()
	renewal.Generation = t.Generation
	m.mu.Unlock()
	value, err := json.Marshal(renewal)
	if err != nil {
		return merry.Wrap(err)
	}
	newRevision, err := m.writeTable(ctx, t, revision, store.Write{Key: feed.RenewalKey(renewal.Host), Value: value})
	if err != nil {
		return err
	}
	m.setRenewalRevision(newRevision)
	return nil
}

// Leave removes this host's seat from the table. It is called after the last request has ended. handedOver reports
// whether the records of runs were copied to other hosts. Leave retries while other hosts change the table, until ctx ends.
func (m *Member) Leave(ctx context.Context, handedOver bool) error {
	m.mu.Lock()
	m.left = true
	incarnation := ident.Incarnation(m.hello.Incarnation)
	m.mu.Unlock()
	m.deps.Registry.Reset()
	for ctx.Err() == nil {
		t, revision := m.tableToChange()
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
