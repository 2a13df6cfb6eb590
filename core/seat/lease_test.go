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
	modelTick      = 100 * time.Millisecond
	modelRenewal   = 1 * time.Second
	modelHeartbeat = 500 * time.Millisecond
)

var (
	modelTiming = seat.Timing{IsolationLimit: 4 * time.Second, ClockDrift: 200 * time.Millisecond}
	modelEpoch  = time.Unix(1_800_000_000, 0)
)

// modelHost is the process of one incarnation of a host in the model.
type modelHost struct {
	name             string
	incarnation      int
	lease            *seat.Lease
	reconciler       *seat.Reconciler
	rate             float64 // clock rate, 1 for a perfect clock
	paused           bool
	storeUnreachable bool
	unreachablePeers map[string]bool
	round            int
	table            wire.SeatTable
	revision         int
	lastWrite        int // number of the last write to its renewal key that it knows of
}

// model simulates a fleet with a store under random failures.
type model struct {
	t               *rapid.T
	now             time.Duration
	hosts           []*modelHost
	table           wire.SeatTable
	revision        int
	renewals        map[string]wire.Renewal
	writeCount      map[string]int // number of writes to each host's renewal key
	queue           []event
	lastIncarnation int
}

// event is a function call scheduled in the model's time, which no host's clock drift affects.
type event struct {
	at  time.Duration
	run func()
}

// clock returns the time on the host's clock, which runs at h.rate.
func (m *model) clock(h *modelHost) time.Time {
	return modelEpoch.Add(time.Duration(float64(m.now) * h.rate))
}

// schedule runs the function after a random delay of up to 8 ticks.
func (m *model) schedule(label string, run func()) {
	d := time.Duration(rapid.IntRange(0, 8).Draw(m.t, label)) * modelTick
	m.queue = append(m.queue, event{at: m.now + d, run: run})
}

func (m *model) runDueEvents() {
	queue := m.queue
	m.queue = nil
	for _, e := range queue {
		if e.at > m.now {
			m.queue = append(m.queue, e)
			continue
		}
		e.run()
	}
}

func (m *model) start(name string) *modelHost {
	m.lastIncarnation++
	h := &modelHost{name: name, incarnation: m.lastIncarnation, unreachablePeers: map[string]bool{}}
	h.rate = 1 + float64(rapid.IntRange(-2, 2).Draw(m.t, "drift"))/100
	h.lease = seat.NewLease(ident.Host(name), ident.Incarnation(h.incarnation), modelTiming)
	h.reconciler = seat.NewReconciler(modelTiming, 3*modelRenewal)
	return h
}

// setTable gives the host a table that it has read, unless it already has that revision or a later one.
func (h *modelHost) setTable(t wire.SeatTable, revision int) {
	if revision <= h.revision {
		return
	}
	h.table, h.revision = t, revision
	h.lease.SetTable(t)
}

// compareAndSwap replaces the table in the store if the store has the given revision of it.
func (m *model) compareAndSwap(t wire.SeatTable, revision int) bool {
	if revision != m.revision {
		return false
	}
	m.table = t
	m.revision++
	return true
}

func (m *model) renew(h *modelHost) {
	if h.storeUnreachable {
		return
	}
	self, seated := seat.Find(h.table, ident.Host(h.name))
	if !seated || self.Incarnation != h.incarnation {
		m.join(h)
		return
	}
	h.round++
	sent, lastWrite := m.clock(h), h.lastWrite
	r := wire.Renewal{Host: h.name, Incarnation: h.incarnation, Generation: h.table.Generation, Round: h.round}
	m.schedule("renewal delay", func() {
		m.schedule("table delay", func() { m.readTable(h) })
		if lastWrite != m.writeCount[h.name] {
			return
		}
		m.renewals[h.name] = r
		m.writeCount[h.name]++
		h.lastWrite = m.writeCount[h.name]
		m.schedule("answer delay", func() { h.lease.RecordRenewal(sent) })
	})
}

func (m *model) readTable(h *modelHost) {
	if !h.paused && !h.storeUnreachable {
		h.setTable(m.table, m.revision)
	}
}

func (m *model) join(h *modelHost) {
	h.setTable(m.table, m.revision)
	hello := wire.Hello{Host: h.name, Incarnation: h.incarnation, Region: "r", LinkAddress: h.name}
	next, err := seat.Join(modelEpoch.Add(m.now), h.table, hello)
	if err == nil && m.compareAndSwap(next, h.revision) {
		h.setTable(m.table, m.revision)
		m.writeCount[h.name]++
		h.lastWrite = m.writeCount[h.name]
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

func (m *model) sendHeartbeats(h *modelHost) {
	sent := m.clock(h)
	for _, peer := range m.hosts {
		if peer == h || h.unreachablePeers[peer.name] || peer.unreachablePeers[h.name] {
			continue
		}
		m.schedule("heartbeat delay", func() {
			if peer.paused || !peer.lease.MayAck(ident.Host(h.name), ident.Incarnation(h.incarnation)) {
				return
			}
			m.schedule("ack delay", func() { h.lease.RecordAck(ident.Host(peer.name), ident.Incarnation(peer.incarnation), sent) })
		})
	}
}

// runController makes the next change of the table as the controller. Several hosts may act as controller at once.
func (m *model) runController(h *modelHost) {
	if h.storeUnreachable {
		return
	}
	var list []wire.Renewal
	for _, r := range m.renewals {
		list = append(list, r)
	}
	h.reconciler.Observe(m.clock(h), list)
	next, changed := h.reconciler.Next(m.clock(h), h.table)
	if !changed {
		return
	}
	before, revision := h.table, h.revision
	m.schedule("controller delay", func() {
		if !m.compareAndSwap(next, revision) {
			return
		}
		h.setTable(next, m.revision)
		for _, s := range before.Seats {
			if after, ok := seat.Find(next, ident.Host(s.Host)); !ok || after.Mark != s.Mark {
				m.writeCount[s.Host]++
			}
		}
	})
}

// release releases the partitions that the host has been asked to release.
func (m *model) release(h *modelHost) {
	pending := seat.PendingRelease(h.table, ident.Host(h.name))
	if h.storeUnreachable || len(pending) == 0 {
		return
	}
	next, revision := seat.Release(h.table, ident.Host(h.name), pending), h.revision
	if m.compareAndSwap(next, revision) {
		h.setTable(next, m.revision)
	}
}

// injectFault injects at most one random fault.
func (m *model) injectFault() {
	if rapid.IntRange(0, 12).Draw(m.t, "fail") > 0 {
		return
	}
	h := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")]
	switch rapid.IntRange(0, 4).Draw(m.t, "failure") {
	case 0:
		h.paused = !h.paused
	case 1:
		h.storeUnreachable = !h.storeUnreachable
	case 2:
		peer := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "peer")]
		h.unreachablePeers[peer.name] = !h.unreachablePeers[peer.name]
	case 3:
		m.replace(h)
	case 4:
		storeDown := rapid.Bool().Draw(m.t, "store down")
		for _, each := range m.hosts {
			each.storeUnreachable = storeDown
		}
	}
}

func (m *model) step() {
	m.now += modelTick
	m.runDueEvents()
	m.injectFault()
	m.runHosts(func(*modelHost) bool { return true })
}

// runHosts runs the periodic tasks of all hosts that are not paused; isController selects those that act as controller.
func (m *model) runHosts(isController func(*modelHost) bool) {
	for _, h := range m.hosts {
		if h.paused {
			continue
		}
		if m.now%modelHeartbeat == 0 {
			m.sendHeartbeats(h)
		}
		if m.now%modelRenewal == 0 {
			m.renew(h)
			m.release(h)
		}
		if m.now%modelRenewal == modelRenewal/2 && isController(h) {
			m.runController(h)
		}
	}
	m.checkExclusiveUse()
}

// checkExclusiveUse fails the test when two processes may both use the same partition.
func (m *model) checkExclusiveUse() {
	owner := map[int]string{}
	for _, h := range m.hosts {
		if !h.lease.Serving(m.clock(h)) {
			continue
		}
		for _, p := range seat.Owned(h.table, ident.Host(h.name)) {
			if other, taken := owner[p]; taken {
				m.t.Fatalf("at %s partition %d is used by %s and %s", m.now, p, other, h.name)
			}
			owner[p] = h.name
		}
	}
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, table: seat.NewTable(), renewals: map[string]wire.Renewal{}, writeCount: map[string]int{}, revision: 1}
	for i := range rapid.IntRange(2, 6).Draw(t, "hosts") {
		m.hosts = append(m.hosts, m.start(fmt.Sprintf("h%d", i)))
	}
	return m
}

// TestNoPartitionIsUsedTwice checks that no two processes may use the same partition at the same time, under pauses,
// lost connections, restarts, store outages, delayed writes and clock drift.
func TestNoPartitionIsUsedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range 600 {
			m.step()
		}
	})
}

// TestLostSeatIsReassigned checks that the partitions of a host that stopped are reassigned without an operator.
func TestLostSeatIsReassigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		runWithoutFaults := func(d time.Duration) {
			for until := m.now + d; m.now < until; {
				m.now += modelTick
				m.runDueEvents()
				m.runHosts(func(h *modelHost) bool { return h == m.hosts[0] })
			}
		}
		runWithoutFaults(30 * time.Second)
		dead := m.hosts[len(m.hosts)-1]
		dead.paused = true
		runWithoutFaults(30 * time.Second)
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
