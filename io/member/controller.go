package member

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

const changesPerRound = 8 // table changes that the controller makes in one round

// controller is the state of a host that holds, or tries for, the controller lease.
type controller struct {
	lease    int64
	deadline time.Time
	watcher  *seat.Reconciler
	free     bool // no host held the lease when this host last renewed
}

// lead does the controller's work if this host holds the controller lease or can take it.
func (m *Member) lead(ctx context.Context) error {
	if !m.holdController(ctx) {
		return nil
	}
	kvs, _, err := m.seams.Store.Range(ctx, feed.RenewalKeys)
	if err != nil {
		return err
	}
	m.controller.watcher.Observe(time.Now(), renewalsOf(kvs))
	if err := m.evolve(ctx); err != nil {
		return err
	}
	if m.seams.Lead != nil && time.Now().Before(m.controller.deadline) {
		m.seams.Lead(ctx, time.Now())
	}
	return nil
}

// evolve makes the table changes that are due, as long as the controller lease lasts.
func (m *Member) evolve(ctx context.Context) error {
	for range changesPerRound {
		now := time.Now()
		if !now.Before(m.controller.deadline) {
			return nil
		}
		m.mu.Lock()
		t, revision := m.table, m.tableRevision
		m.mu.Unlock()
		next, changed := m.controller.watcher.Next(now, t)
		if !changed {
			return nil
		}
		_, err := m.writeTable(ctx, next, revision, m.renewalWrites(t, next)...)
		if errors.Is(err, store.ErrConflict) {
			return nil
		}
		if err != nil {
			return err
		}
		m.seams.Log.Info("seat table changed", "generation", next.Generation, "seats", len(next.Seats))
	}
	return nil
}

// renewalWrites returns the renewal keys to change together with the table: a newly marked host's key is written again,
// so that its renewals fail from then on, and a removed host's key goes.
func (m *Member) renewalWrites(before, after wire.SeatTable) []store.Write {
	var writes []store.Write
	for _, s := range before.Seats {
		host := ident.Host(s.Host)
		now, seated := seat.Find(after, host)
		switch {
		case !seated:
			writes = append(writes, store.Write{Key: feed.RenewalKey(s.Host), Delete: true})
		case now.Mark > 0 && s.Mark == 0:
			last := m.controller.watcher.LastRenewal(host)
			last.WriteId = store.NewWriteID()
			if value, err := json.Marshal(last); err == nil {
				writes = append(writes, store.Write{Key: feed.RenewalKey(s.Host), Value: value})
			}
		}
	}
	return writes
}

func renewalsOf(kvs []store.KV) []wire.Renewal {
	var list []wire.Renewal
	for _, kv := range kvs {
		var r wire.Renewal
		if json.Unmarshal(kv.Value, &r) == nil {
			list = append(list, r)
		}
	}
	return list
}

// holdController extends the controller lease, or takes it when it is free.
func (m *Member) holdController(ctx context.Context) bool {
	c := &m.controller
	sent := time.Now()
	if c.lease != 0 && m.seams.Store.KeepAlive(ctx, c.lease) == nil {
		c.deadline = sent.Add(controllerSeconds * time.Second)
		return true
	}
	if sent.Before(c.deadline) {
		return false
	}
	c.lease = 0
	return m.takeController(ctx)
}

func (m *Member) takeController(ctx context.Context) bool {
	c := &m.controller
	if !c.free {
		return false
	}
	sent := time.Now()
	lease, err := m.seams.Store.Grant(ctx, controllerSeconds)
	if err != nil {
		return false
	}
	compares := []store.Compare{{Key: feed.LeaseKey}}
	writes := []store.Write{{Key: feed.LeaseKey, Value: []byte(m.hello.Host), Lease: lease}}
	if _, _, err := m.seams.Store.Txn(ctx, compares, writes, nil); err != nil {
		return false
	}
	c.lease = lease
	c.deadline = sent.Add(controllerSeconds * time.Second)
	c.watcher = seat.NewReconciler(m.terms, silentRenewals*m.renewal)
	m.seams.Log.Info("controller lease taken", "host", m.hello.Host)
	return true
}
