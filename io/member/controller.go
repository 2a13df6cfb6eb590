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

// maxChangesPerRound limits the table changes that the controller makes in one round.
const maxChangesPerRound = 8

// controller is the state of a host that holds the controller lease or tries to acquire it.
type controller struct {
	leaseID    int64
	deadline   time.Time
	reconciler *seat.Reconciler
	leaseFree  bool // no host held the controller lease at this host's last renewal
}

// runController does the controller's work for one round if this host holds the controller lease or can acquire it.
func (m *Member) runController(ctx context.Context) error {
	if !m.holdControllerLease(ctx) {
		return nil
	}
	kvs, _, err := m.deps.Store.Range(ctx, feed.RenewalPrefix)
	if err != nil {
		return err
	}
	m.controller.reconciler.Observe(time.Now(), decodeRenewals(kvs))
	if err := m.applyTableChanges(ctx); err != nil {
		return err
	}
	if m.deps.RunController != nil && time.Now().Before(m.controller.deadline) {
		m.deps.RunController(ctx, time.Now())
	}
	return nil
}

// applyTableChanges writes the table changes that are due, at most maxChangesPerRound and only until the controller
// lease expires. It stops without an error when another host has changed the table.
func (m *Member) applyTableChanges(ctx context.Context) error {
	for range maxChangesPerRound {
		now := time.Now()
		if !now.Before(m.controller.deadline) {
			return nil
		}
		t, revision := m.tableToChange()
		next, changed := m.controller.reconciler.Next(now, t)
		if !changed {
			return nil
		}
		_, err := m.writeTable(ctx, next, revision, m.renewalWrites(t, next)...)
		if errors.Is(err, store.ErrConflict) || errors.Is(err, errSettling) {
			return nil
		}
		if err != nil {
			return err
		}
		m.deps.Log.Info("seat table changed", "generation", next.Generation, "seats", len(next.Seats))
	}
	return nil
}

// renewalWrites returns the renewal keys to change in the same transaction as the table. The key of a newly marked host
// is rewritten, so that the host's next renewals fail, and the key of a removed host is deleted.
func (m *Member) renewalWrites(before, after wire.SeatTable) []store.Write {
	var writes []store.Write
	for _, seatBefore := range before.Seats {
		host := ident.Host(seatBefore.Host)
		seatAfter, seated := seat.Find(after, host)
		switch {
		case !seated:
			writes = append(writes, store.Write{Key: feed.RenewalKey(seatBefore.Host), Delete: true})
		case seatAfter.Mark > 0 && seatBefore.Mark == 0:
			last := m.controller.reconciler.LastRenewal(host)
			last.WriteId = store.NewWriteID()
			if value, err := json.Marshal(last); err == nil {
				writes = append(writes, store.Write{Key: feed.RenewalKey(seatBefore.Host), Value: value})
			}
		}
	}
	return writes
}

// decodeRenewals decodes the renewals and skips malformed ones.
func decodeRenewals(kvs []store.KV) []wire.Renewal {
	var list []wire.Renewal
	for _, kv := range kvs {
		var r wire.Renewal
		if json.Unmarshal(kv.Value, &r) == nil {
			list = append(list, r)
		}
	}
	return list
}

// holdControllerLease extends the controller lease, or acquires it if it is free, and reports whether this host holds
// it. After a failed extension the host does not acquire a new lease before the deadline of the old one.
func (m *Member) holdControllerLease(ctx context.Context) bool {
	c := &m.controller
	sent := time.Now()
	if c.leaseID != 0 && m.deps.Store.KeepAlive(ctx, c.leaseID) == nil {
		c.deadline = sent.Add(controllerLeaseSeconds * time.Second)
		return true
	}
	if sent.Before(c.deadline) {
		return false
	}
	c.leaseID = 0
	return m.takeControllerLease(ctx)
}

// takeControllerLease acquires the controller lease if it was free at the last renewal. The deadline counts from when
// the request was sent, so that it is never later than the store's.
func (m *Member) takeControllerLease(ctx context.Context) bool {
	c := &m.controller
	if !c.leaseFree {
		return false
	}
	sent := time.Now()
	lease, err := m.deps.Store.Grant(ctx, controllerLeaseSeconds)
	if err != nil {
		return false
	}
	compares := []store.Compare{{Key: feed.ControllerLeaseKey}}
	writes := []store.Write{{Key: feed.ControllerLeaseKey, Value: []byte(m.hello.Host), Lease: lease}}
	if _, _, err := m.deps.Store.Txn(ctx, compares, writes, nil); err != nil {
		return false
	}
	c.leaseID = lease
	c.deadline = sent.Add(controllerLeaseSeconds * time.Second)
	c.reconciler = seat.NewReconciler(m.leaseTiming, maxMissedRenewals*m.renewalInterval)
	m.deps.Log.Info("controller lease taken", "host", m.hello.Host)
	return true
}
