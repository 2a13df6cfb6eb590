package seat_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/wire"
)

const (
	modelTick    = 100 * time.Millisecond
	modelRenewal = 1 * time.Second
	modelBeat    = 500 * time.Millisecond
)

var (
	modelTerms = seat.Terms{Isolation: 4 * time.Second, Drift: 200 * time.Millisecond}
	modelEpoch = time.Unix(1_800_000_000, 0)
)

// modelHost is one incarnation's process in the model.
type modelHost struct {
	name        string
	incarnation int
	lease       *seat.Lease
	watcher     *seat.Watcher
	rate        float64 // clock rate, 1 for a perfect clock
	paused      bool
	cutStore    bool
	cutFrom     map[string]bool
	round       int
	table       wire.SeatTable
	revision    int
	own         int // write of its renewal key that it knows of
}

// model is a fleet with a store, driven by random failures.
type model struct {
	t        *rapid.T
	now      time.Duration
	hosts    []*modelHost
	table    wire.SeatTable
	revision int
	renewals map[string]wire.Renewal
	written  map[string]int // number of writes to each host's renewal key
	queue    []delayed
	next     int
}

// delayed is something that happens later, in true time.
type delayed struct {
	at time.Duration
	do func()
}

func (m *model) clock(h *modelHost) time.Time {
	return modelEpoch.Add(time.Duration(float64(m.now) * h.rate))
}

func (m *model) later(label string, do func()) {
	d := time.Duration(rapid.IntRange(0, 8).Draw(m.t, label)) * modelTick
	m.queue = append(m.queue, delayed{at: m.now + d, do: do})
}

func (m *model) deliver() {
	queue := m.queue
	m.queue = nil
	for _, d := range queue {
		if d.at > m.now {
			m.queue = append(m.queue, d)
			continue
		}
		d.do()
	}
}

func (m *model) start(name string) *modelHost {
	m.next++
	h := &modelHost{name: name, incarnation: m.next, cutFrom: map[string]bool{}}
	h.rate = 1 + float64(rapid.IntRange(-2, 2).Draw(m.t, "drift"))/100
	h.lease = seat.NewLease(ident.Host(name), ident.Incarnation(h.incarnation), modelTerms)
	h.watcher = seat.NewWatcher(modelTerms, 3*modelRenewal)
	return h
}

func (h *modelHost) see(t wire.SeatTable, revision int) {
	if revision <= h.revision {
		return
	}
	h.table, h.revision = t, revision
	h.lease.SetTable(t)
}

// cas replaces the table if it stands at the revision.
func (m *model) cas(t wire.SeatTable, revision int) bool {
	if revision != m.revision {
		return false
	}
	m.table = t
	m.revision++
	return true
}

func (m *model) renew(h *modelHost) {
	if h.cutStore {
		return
	}
	self, seated := seat.Find(h.table, ident.Host(h.name))
	if !seated || self.Incarnation != h.incarnation {
		m.join(h)
		return
	}
	h.round++
	sent, own := m.clock(h), h.own
	r := wire.Renewal{Host: h.name, Incarnation: h.incarnation, Generation: h.table.Generation, Round: h.round}
	m.later("renewal delay", func() {
		m.later("table delay", func() { m.read(h) })
		if own != m.written[h.name] {
			return
		}
		m.renewals[h.name] = r
		m.written[h.name]++
		h.own = m.written[h.name]
		m.later("answer delay", func() { h.lease.Renewed(sent) })
	})
}

func (m *model) read(h *modelHost) {
	if !h.paused && !h.cutStore {
		h.see(m.table, m.revision)
	}
}

func (m *model) join(h *modelHost) {
	h.see(m.table, m.revision)
	hello := wire.Hello{Host: h.name, Incarnation: h.incarnation, Region: "r", LinkAddress: h.name}
	next, err := seat.Join(modelEpoch.Add(m.now), h.table, hello)
	if err == nil && m.cas(next, h.revision) {
		h.see(m.table, m.revision)
		m.written[h.name]++
		h.own = m.written[h.name]
		return
	}
	if s, ok := seat.Find(m.table, ident.Host(h.name)); ok && s.Incarnation >= h.incarnation {
		m.replace(h)
	}
}

// replace starts a new incarnation in place of a host's process.
func (m *model) replace(old *modelHost) {
	for i, h := range m.hosts {
		if h == old {
			m.hosts[i] = m.start(old.name)
		}
	}
}

func (m *model) beat(h *modelHost) {
	sent := m.clock(h)
	for _, peer := range m.hosts {
		if peer == h || h.cutFrom[peer.name] || peer.cutFrom[h.name] {
			continue
		}
		m.later("beat delay", func() {
			if peer.paused || !peer.lease.MayAck(ident.Host(h.name), ident.Incarnation(h.incarnation)) {
				return
			}
			m.later("ack delay", func() { h.lease.Acked(ident.Host(peer.name), ident.Incarnation(peer.incarnation), sent) })
		})
	}
}

// control makes one change as the controller; any host may believe that it is.
func (m *model) control(h *modelHost) {
	if h.cutStore {
		return
	}
	var list []wire.Renewal
	for _, r := range m.renewals {
		list = append(list, r)
	}
	h.watcher.Observe(m.clock(h), list)
	next, changed := h.watcher.Next(m.clock(h), h.table)
	if !changed {
		return
	}
	before, revision := h.table, h.revision
	m.later("controller delay", func() {
		if !m.cas(next, revision) {
			return
		}
		h.see(next, m.revision)
		for _, s := range before.Seats {
			if now, ok := seat.Find(next, ident.Host(s.Host)); !ok || now.Mark != s.Mark {
				m.written[s.Host]++
			}
		}
	})
}

// release lets go of partitions as the owner.
func (m *model) release(h *modelHost) {
	leaving := seat.Leaving(h.table, ident.Host(h.name))
	if h.cutStore || len(leaving) == 0 {
		return
	}
	next, revision := seat.Release(h.table, ident.Host(h.name), leaving), h.revision
	if m.cas(next, revision) {
		h.see(next, m.revision)
	}
}

// fail draws at most one failure.
func (m *model) fail() {
	if rapid.IntRange(0, 12).Draw(m.t, "fail") > 0 {
		return
	}
	h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")]
	switch rapid.IntRange(0, 4).Draw(m.t, "failure") {
	case 0:
		h.paused = !h.paused
	case 1:
		h.cutStore = !h.cutStore
	case 2:
		peer := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "peer")]
		h.cutFrom[peer.name] = !h.cutFrom[peer.name]
	case 3:
		m.replace(h)
	case 4:
		down := rapid.Bool().Draw(m.t, "store down")
		for _, each := range m.hosts {
			each.cutStore = down
		}
	}
}

func (m *model) step() {
	m.now += modelTick
	m.deliver()
	m.fail()
	m.work(func(*modelHost) bool { return true })
}

// work lets every host that runs do what is due; leads tells which of them act as controller.
func (m *model) work(leads func(*modelHost) bool) {
	for _, h := range m.hosts {
		if h.paused {
			continue
		}
		if m.now%modelBeat == 0 {
			m.beat(h)
		}
		if m.now%modelRenewal == 0 {
			m.renew(h)
			m.release(h)
		}
		if m.now%modelRenewal == modelRenewal/2 && leads(h) {
			m.control(h)
		}
	}
	m.check()
}

// check fails when two processes may both use the same partition.
func (m *model) check() {
	holder := map[int]string{}
	for _, h := range m.hosts {
		if !h.lease.Serving(m.clock(h)) {
			continue
		}
		for _, p := range seat.Owned(h.table, ident.Host(h.name)) {
			if other, taken := holder[p]; taken {
				m.t.Fatalf("at %s partition %d is used by %s and %s", m.now, p, other, h.name)
			}
			holder[p] = h.name
		}
	}
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, table: seat.NewTable(), renewals: map[string]wire.Renewal{}, written: map[string]int{}, revision: 1}
	for i := range rapid.IntRange(2, 6).Draw(t, "hosts") {
		m.hosts = append(m.hosts, m.start(fmt.Sprintf("h%d", i)))
	}
	return m
}

// TestNoPartitionIsUsedTwice drives the serving lease through pauses, cuts, restarts, store outages, late writes and
// clock drift, and requires that no partition is ever used by two processes.
func TestNoPartitionIsUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 600 {
			m.step()
		}
	})
}

// TestLostSeatIsReassigned requires that a dead host's partitions go to others without an operator.
func TestLostSeatIsReassigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		quiet := func(d time.Duration) {
			for until := m.now + d; m.now < until; {
				m.now += modelTick
				m.deliver()
				m.work(func(h *modelHost) bool { return h == m.hosts[0] })
			}
		}
		quiet(30 * time.Second)
		dead := m.hosts[len(m.hosts)-1]
		dead.paused = true
		quiet(30 * time.Second)
		if _, seated := seat.Find(m.table, ident.Host(dead.name)); seated {
			t.Fatalf("%s still has its seat in generation %d: %v, renewals %v", dead.name, m.table.Generation, m.table.Seats, m.renewals)
		}
		for i, p := range m.table.Partitions {
			if p.Owner == "" || p.Owner == dead.name {
				t.Fatalf("partition %d has owner %q", i, p.Owner)
			}
		}
	})
}
