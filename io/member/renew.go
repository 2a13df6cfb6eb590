package member

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

// renew writes this host's renewal if the renewal key is unchanged since its last renewal. Marking the seat rewrites the
// key, so that renewals of a marked seat fail.
func (m *Member) renew(ctx context.Context) error {
	m.mu.Lock()
	m.round++
	renewal := m.newRenewal()
	compares := []store.Compare{{Key: feed.RenewalKey(renewal.Host), Revision: m.renewalRevision}}
	lease := m.lease.Load()
	m.mu.Unlock()
	value, err := json.Marshal(renewal)
	if err != nil {
		return merry.Wrap(err)
	}
	sent := time.Now()
	writes := []store.Write{{Key: feed.RenewalKey(renewal.Host), Value: value}}
	revision, kvs, err := m.deps.Store.Txn(ctx, compares, writes, []string{feed.TableKey, feed.HeadKey, feed.ControllerLeaseKey})
	m.applyTable(kvs)
	if err != nil {
		return m.resolveRenewal(ctx, err)
	}
	m.noteMissingTable(ident.Revision(revision), kvs)
	m.controller.leaseFree = !slices.ContainsFunc(kvs, func(kv store.KV) bool { return string(kv.Key) == feed.ControllerLeaseKey })
	m.setRenewalRevision(revision)
	lease.RecordRenewal(sent)
	m.checkWatchLag(kvs)
	return nil
}

// newRenewal returns the renewal to write. The caller holds mu.
func (m *Member) newRenewal() wire.Renewal {
	return wire.Renewal{
		Host: m.hello.Host, Incarnation: m.hello.Incarnation, Generation: m.table.Generation, Round: m.round,
		Revision: int(m.deps.ConfigRevision()), WriteId: m.writeIDPrefix + strconv.Itoa(m.round),
	}
}

func (m *Member) setRenewalRevision(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.renewalRevision = revision
}

// resolveRenewal reads the renewal key after a renewal that failed or whose answer was lost, and returns renewErr. If
// any write of this incarnation is found, even one before the last, the next renewal is based on its revision. Any other
// value means that the seat was marked or taken by another incarnation, unless the store was restored from a copy since the
// last renewal: then the seat table alone tells.
func (m *Member) resolveRenewal(ctx context.Context, renewErr error) error {
	revision, kvs, err := m.deps.Store.Txn(ctx, nil, nil, []string{feed.RenewalKey(m.hello.Host), feed.TableKey})
	if err != nil {
		return renewErr
	}
	m.noteMissingTable(ident.Revision(revision), kvs)
	m.applyTable(kvs)
	restored := m.forgetLostRenewal(ident.Revision(revision))
	for _, kv := range kvs {
		var r wire.Renewal
		if string(kv.Key) == feed.RenewalKey(m.hello.Host) && json.Unmarshal(kv.Value, &r) == nil {
			m.mu.Lock()
			if restored || strings.HasPrefix(r.WriteId, m.writeIDPrefix) {
				m.renewalRevision = kv.ModRevision
			}
			m.mu.Unlock()
		}
	}
	return renewErr
}

// checkWatchLag requests a full read of the configuration when the watch has been behind the store at maxLagRenewals
// consecutive renewals.
func (m *Member) checkWatchLag(kvs []store.KV) {
	head := int64(0)
	for _, kv := range kvs {
		if string(kv.Key) == feed.HeadKey {
			head = kv.ModRevision
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if head <= int64(m.deps.ConfigRevision()) {
		m.lagCount = 0
		return
	}
	m.lagCount++
	if m.lagCount >= maxLagRenewals {
		m.lagCount = 0
		m.deps.Log.Warn("watch lags behind the store", "head", head)
		m.deps.ReloadConfig()
	}
}
