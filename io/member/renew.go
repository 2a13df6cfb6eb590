package member

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

// renew writes this host's renewal. It lands only on the host's last one: a mark on the seat replaces that, and renewals fail.
func (m *Member) renew(ctx context.Context) error {
	m.mu.Lock()
	m.round++
	renewal := m.renewalRecord()
	compares := []store.Compare{{Key: feed.RenewalKey(renewal.Host), Revision: m.ownRevision}}
	lease := m.lease.Load()
	m.mu.Unlock()
	value, err := json.Marshal(renewal)
	if err != nil {
		return merry.Wrap(err)
	}
	sent := time.Now()
	writes := []store.Write{{Key: feed.RenewalKey(renewal.Host), Value: value}}
	revision, found, err := m.seams.Store.Txn(ctx, compares, writes, []string{feed.TableKey, feed.HeadKey, feed.LeaseKey})
	m.adopt(found)
	if err != nil {
		return m.settleRenewal(ctx, err)
	}
	m.controller.free = !slices.ContainsFunc(found, func(kv store.KV) bool { return string(kv.Key) == feed.LeaseKey })
	m.setOwn(revision)
	lease.RecordRenewal(sent)
	m.checkHead(found)
	return nil
}

// renewalRecord returns the renewal to write. The caller holds the lock.
func (m *Member) renewalRecord() wire.Renewal {
	return wire.Renewal{
		Host: m.hello.Host, Incarnation: m.hello.Incarnation, Generation: m.table.Generation, Round: m.round,
		Revision: int(m.seams.Revision()), WriteId: m.ownWrites + strconv.Itoa(m.round),
	}
}

func (m *Member) setOwn(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownRevision = revision
}

// settleRenewal reads the host's own key after a renewal that failed or whose answer was lost. Any write of this host's
// own, also one before the last, is where the next renewal goes on; anything else means that the seat was marked or taken.
func (m *Member) settleRenewal(ctx context.Context, failed error) error {
	_, found, err := m.seams.Store.Txn(ctx, nil, nil, []string{feed.RenewalKey(m.hello.Host), feed.TableKey})
	if err != nil {
		return failed
	}
	m.adopt(found)
	for _, kv := range found {
		var r wire.Renewal
		if string(kv.Key) == feed.RenewalKey(m.hello.Host) && json.Unmarshal(kv.Value, &r) == nil {
			m.mu.Lock()
			if strings.HasPrefix(r.WriteId, m.ownWrites) {
				m.ownRevision = kv.ModRevision
			}
			m.mu.Unlock()
		}
	}
	return failed
}

// checkHead asks for a full read when the watch stays behind the store.
func (m *Member) checkHead(found []store.KV) {
	head := int64(0)
	for _, kv := range found {
		if string(kv.Key) == feed.HeadKey {
			head = kv.ModRevision
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if head <= int64(m.seams.Revision()) {
		m.lag = 0
		return
	}
	m.lag++
	if m.lag >= lagPatience {
		m.lag = 0
		m.seams.Log.Warn("watch lags behind the store", "head", head)
		m.seams.Stale()
	}
}
