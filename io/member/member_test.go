// Package member_test tests how a member takes and renews its seat, with an in-memory store and virtual time.
package member_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/link"
	"jayshift/io/member"
	"jayshift/io/store"
)

const (
	renewalInterval = 400 * time.Millisecond
	isolationLimit  = 3 * time.Second
	clockDrift      = 100 * time.Millisecond
	runTime         = 5 * time.Second
)

// memoryStore is an in-memory store that can lose answers and fail calls.
type memoryStore struct {
	mu          sync.Mutex
	revision    int64
	keys        map[string]store.KV
	loseAnswers int                   // number of answers to writes to lose
	failCalls   int                   // number of calls to fail after the last lost answer
	onWrite     func(w []store.Write) // called after a transaction is applied, before its answer
}

func (m *memoryStore) txn(_ context.Context, compares []store.Compare, writes []store.Write, reads []string) (int64, []store.KV, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.loseAnswers == 0 && m.failCalls > 0 {
		m.failCalls--
		return 0, nil, store.ErrUnavailable
	}
	kvs := m.read(reads)
	for _, c := range compares {
		if m.keys[c.Key].ModRevision != c.Revision {
			return m.revision, kvs, store.ErrConflict
		}
	}
	m.put(writes)
	if len(writes) > 0 && m.loseAnswers > 0 {
		m.loseAnswers--
		return 0, nil, store.ErrUnavailable
	}
	return m.revision, m.read(reads), nil
}

func (m *memoryStore) read(keys []string) []store.KV {
	var kvs []store.KV
	for _, key := range keys {
		if kv, ok := m.keys[key]; ok {
			kvs = append(kvs, kv)
		}
	}
	return kvs
}

func (m *memoryStore) put(writes []store.Write) {
	if len(writes) == 0 {
		return
	}
	m.revision++
	for _, w := range writes {
		if w.Delete {
			delete(m.keys, w.Key)
			continue
		}
		m.keys[w.Key] = store.KV{Key: []byte(w.Key), Value: w.Value, ModRevision: m.revision}
	}
	if m.onWrite != nil {
		m.onWrite(writes)
	}
}

// newMember returns a member that uses the store and never acquires the controller lease.
func newMember(m *memoryStore) *member.Member {
	log := slog.New(slog.DiscardHandler)
	mesh := link.New(link.Deps{
		Hello: func() wire.Hello { return wire.Hello{} }, HTTPClient: func() *http.Client { return http.DefaultClient }, Scheme: "ws", Log: log,
	})
	st := &store.Store{
		Txn:   m.txn,
		Grant: func(context.Context, int64) (int64, error) { return 0, store.ErrUnavailable },
		Range: func(context.Context, string) ([]store.KV, int64, error) { return nil, 0, store.ErrUnavailable },
	}
	hello := wire.Hello{Host: "a", AvailabilityZone: "z", Region: "r"}
	timing := seat.Timing{IsolationLimit: isolationLimit, ClockDrift: clockDrift}
	return member.New(hello, member.Timing{Lease: timing, RenewalInterval: renewalInterval, HeartbeatInterval: renewalInterval}, nil, member.Deps{
		LimitReports: func(time.Time) []limit.Report { return nil }, OnLimitReports: func(ident.Host, []limit.Report) {},

		Store: st, Mesh: mesh, Registry: share.NewRegistry("a", time.Second), Log: log,
		ConfigRevision: func() ident.Revision { return 0 },
		Load:           func() (int, float64, bool) { return 0, 1, false },
		ReloadConfig:   func() {}, PullConfig: func(ident.Host) {},
	})
}

// runMember runs a member for runTime and returns the number of the last renewal in the store.
func runMember(t *testing.T, m *memoryStore, setup func(a *member.Member)) (renewals int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := newMember(m)
		setup(a)
		go a.Run(ctx)
		time.Sleep(runTime)
		cancel()
		synctest.Wait()
		var r wire.Renewal
		if err := json.Unmarshal(m.keys[feed.RenewalKey("a")].Value, &r); err != nil {
			t.Fatal(err)
		}
		renewals = r.Round
	})
	return renewals
}

// TestTableChangesWhileSeatIsTaken checks that a member renews its seat although another host changes the seat table
// after the member's seat is written and before the member receives the answer.
func TestTableChangesWhileSeatIsTaken(t *testing.T) {
	is := is.New(t)
	m := &memoryStore{keys: map[string]store.KV{}}
	renewals := runMember(t, m, func(a *member.Member) {
		m.onWrite = func([]store.Write) {
			m.onWrite = nil
			var table wire.SeatTable
			is.NoErr(json.Unmarshal(m.keys[feed.TableKey].Value, &table))
			table.Generation++
			value, err := json.Marshal(table)
			is.NoErr(err)
			m.put([]store.Write{{Key: feed.TableKey, Value: value}})
			a.SetTable(table, ident.Revision(m.revision))
		}
	})
	is.True(renewals >= int(runTime/renewalInterval)-1)
}

// TestRenewalsContinueAfterLostAnswers checks that a member continues to renew its seat after the answer to a renewal is
// lost and up to four calls after it fail.
func TestRenewalsContinueAfterLostAnswers(t *testing.T) {
	for name, failCalls := range map[string]int{"no call fails": 0, "the read fails": 1, "the next renewal fails too": 2, "several calls fail": 4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &memoryStore{keys: map[string]store.KV{}}
			renewals := runMember(t, m, func(*member.Member) {
				writes := 0
				m.onWrite = func([]store.Write) {
					if writes++; writes == 3 {
						m.loseAnswers, m.failCalls = 1, failCalls
					}
				}
			})
			is.True(renewals >= int(runTime/renewalInterval)-1)
		})
	}
}

// TestCannotSpendLimitsWithoutLink checks that a host cannot spend from limits while another host, to which it has no
// link, owns all partitions.
func TestCannotSpendLimitsWithoutLink(t *testing.T) {
	is := is.New(t)
	m := &memoryStore{keys: map[string]store.KV{}}
	a := newMember(m)
	is.True(a.CanSpendLimits()) // only host
	table := seat.NewTable()
	table.Seats = []wire.Seat{{Host: "a"}, {Host: "b", LinkAddress: "127.0.0.1:1"}}
	for i := range table.Partitions {
		table.Partitions[i].Owner = "b"
	}
	a.SetTable(table, 1)
	is.True(!a.CanSpendLimits())
	table.Partitions[0].Owner = "a"
	a.SetTable(table, 2)
	is.True(a.CanSpendLimits())
}
