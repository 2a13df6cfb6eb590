// Package member_test keeps a seat on a store in memory, in virtual time.
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
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/link"
	"jayshift/io/member"
	"jayshift/io/store"
)

const (
	renewal   = 400 * time.Millisecond
	isolation = 3 * time.Second
	drift     = 100 * time.Millisecond
	watched   = 5 * time.Second
)

// memory is a store in memory whose answers can get lost.
type memory struct {
	mu       sync.Mutex
	revision int64
	keys     map[string]store.KV
	lose     int                   // answers of writes to lose
	away     int                   // calls to fail after a lost answer
	wrote    func(w []store.Write) // called after a transaction has landed, before its answer
}

func (m *memory) txn(_ context.Context, compares []store.Compare, writes []store.Write, reads []string) (int64, []store.KV, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lose == 0 && m.away > 0 {
		m.away--
		return 0, nil, store.ErrUnavailable
	}
	found := m.read(reads)
	for _, c := range compares {
		if m.keys[c.Key].ModRevision != c.Revision {
			return m.revision, found, store.ErrConflict
		}
	}
	m.put(writes)
	if len(writes) > 0 && m.lose > 0 {
		m.lose--
		return 0, nil, store.ErrUnavailable
	}
	return m.revision, m.read(reads), nil
}

func (m *memory) read(keys []string) []store.KV {
	var found []store.KV
	for _, key := range keys {
		if kv, ok := m.keys[key]; ok {
			found = append(found, kv)
		}
	}
	return found
}

func (m *memory) put(writes []store.Write) {
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
	if m.wrote != nil {
		m.wrote(writes)
	}
}

// newMember returns a member on the store that never leads.
func newMember(m *memory) *member.Member {
	log := slog.New(slog.DiscardHandler)
	mesh := link.New(link.Seams{
		Hello: func() wire.Hello { return wire.Hello{} }, Client: func() *http.Client { return http.DefaultClient }, Scheme: "ws",
	})
	st := &store.Store{
		Txn:   m.txn,
		Grant: func(context.Context, int64) (int64, error) { return 0, store.ErrUnavailable },
		Range: func(context.Context, string) ([]store.KV, int64, error) { return nil, 0, store.ErrUnavailable },
	}
	hello := wire.Hello{Host: "a", AvailabilityZone: "z", Region: "r"}
	terms := seat.Timing{IsolationLimit: isolation, ClockDrift: drift}
	return member.New(hello, member.Times{Terms: terms, Renewal: renewal, Heartbeat: renewal}, nil, member.Seams{
		Store: st, Mesh: mesh, Book: share.NewRegistry("a", time.Second), Log: log,
		Revision: func() ident.Revision { return 0 },
		Load:     func() (int, float64, bool) { return 0, 1, false },
		Stale:    func() {}, Pull: func(ident.Host) {},
	})
}

// run lets a member take its seat and keep it for a while, and returns the renewals that landed meanwhile.
func run(t *testing.T, m *memory, then func(a *member.Member)) (landed int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		a := newMember(m)
		then(a)
		go a.Run(ctx)
		time.Sleep(watched)
		cancel()
		synctest.Wait()
		var r wire.Renewal
		if err := json.Unmarshal(m.keys[feed.RenewalKey("a")].Value, &r); err != nil {
			t.Fatal(err)
		}
		landed = r.Round
	})
	return landed
}

// TestTableChangesWhileSeatIsTaken lets another host change the seat table before this one hears that it has a seat.
func TestTableChangesWhileSeatIsTaken(t *testing.T) {
	is := is.New(t)
	m := &memory{keys: map[string]store.KV{}}
	landed := run(t, m, func(a *member.Member) {
		m.wrote = func([]store.Write) {
			m.wrote = nil
			var table wire.SeatTable
			is.NoErr(json.Unmarshal(m.keys[feed.TableKey].Value, &table))
			table.Generation++
			value, err := json.Marshal(table)
			is.NoErr(err)
			m.put([]store.Write{{Key: feed.TableKey, Value: value}})
			a.SetTable(table, ident.Revision(m.revision))
		}
	})
	is.True(landed >= int(watched/renewal)-1)
}

// TestRenewalsGoOnAfterLostAnswers loses the answer of a renewal, and fails the calls that follow.
func TestRenewalsGoOnAfterLostAnswers(t *testing.T) {
	for name, away := range map[string]int{"none follows": 0, "the read too": 1, "the next renewal too": 2, "several": 4} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := &memory{keys: map[string]store.KV{}}
			landed := run(t, m, func(*member.Member) {
				writes := 0
				m.wrote = func([]store.Write) {
					if writes++; writes == 3 {
						m.lose, m.away = 1, away
					}
				}
			})
			is.True(landed >= int(watched/renewal)-1)
		})
	}
}

// TestNotSuppliedWithoutLink takes a seat in a fleet whose other host holds all parts of the limits and is not linked yet.
func TestNotSuppliedWithoutLink(t *testing.T) {
	is := is.New(t)
	m := &memory{keys: map[string]store.KV{}}
	a := newMember(m)
	is.True(a.Supplied()) // alone
	table := seat.NewTable()
	table.Seats = []wire.Seat{{Host: "a"}, {Host: "b", LinkAddress: "127.0.0.1:1"}}
	for i := range table.Partitions {
		table.Partitions[i].Owner = "b"
	}
	a.SetTable(table, 1)
	is.True(!a.Supplied())
	table.Partitions[0].Owner = "a"
	a.SetTable(table, 2)
	is.True(a.Supplied())
}
