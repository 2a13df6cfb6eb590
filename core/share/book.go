package share

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/wire"
)

const shardCount = 32

// Book holds all shares of one host, in shards with a lock each.
type Book struct {
	self   ident.Host
	shards [shardCount]shard

	mu     sync.Mutex // guards what Update keeps between calls
	limits map[ident.Quantity]Limit
	owned  map[int]holding
	table  wire.SeatTable
	rested time.Time // latest time at which a holding becomes usable, zero when all are

	longestLoan time.Duration // of a rate, as its lender counts it
}

// holding is one partition that this host holds.
type holding struct {
	since    int            // table generation
	revision ident.Revision // store revision at which this host is known to have held it
	lostAt   time.Time      // when it was taken from a lost holder, zero when it was handed over
	usableAt time.Time      // before this, loans of the earlier process of the host may last
}

type shard struct {
	mu     sync.Mutex
	rates  map[ident.Quantity]*Rate
	counts map[ident.Quantity]*Count
}

// NewBook returns a book without shares. No loan of a rate lasts longer than the longest one given.
func NewBook(self ident.Host, longestLoan time.Duration) *Book {
	b := &Book{self: self, longestLoan: longestLoan, limits: map[ident.Quantity]Limit{}, owned: map[int]holding{}}
	for i := range b.shards {
		b.shards[i].rates = map[ident.Quantity]*Rate{}
		b.shards[i].counts = map[ident.Quantity]*Count{}
	}
	return b
}

func (b *Book) shard(q ident.Quantity) *shard {
	return &b.shards[xxhash.Sum64String(string(q))%shardCount]
}

// SetTable takes in a seat table that stands at a store revision. Older tables are ignored.
func (b *Book) SetTable(now time.Time, t wire.SeatTable, revision ident.Revision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.Generation < b.table.Generation {
		return
	}
	b.table = t
	owned := map[int]holding{}
	for i, p := range t.Partitions {
		if p.Owner != string(b.self) {
			continue
		}
		h, ok := b.owned[i]
		if !ok || h.since != p.Since {
			h = holding{since: p.Since, revision: revision}
			if !p.Fresh {
				h.lostAt = now
			}
			if p.Retaken {
				h.usableAt = now.Add(b.longestLoan)
			}
		}
		owned[i] = h
		b.rested = later(b.rested, h.usableAt)
	}
	b.owned = owned
	b.rebase(now)
}

// Refresh takes in the partitions that have become usable since they were taken.
func (b *Book) Refresh(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.rested.IsZero() {
		return
	}
	b.rebase(now)
	if !now.Before(b.rested) {
		b.rested = time.Time{}
	}
}

// SetLimits takes in the limits of a configuration.
func (b *Book) SetLimits(now time.Time, limits []Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[ident.Quantity]Limit, len(limits))
	for _, l := range limits {
		next[l.Quantity] = l
	}
	for q := range b.limits {
		if _, ok := next[q]; !ok {
			b.drop(q)
		}
	}
	b.limits = next
	b.rebase(now)
}

// Reset forgets all shares, for a host that takes a seat again.
func (b *Book) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for q := range b.limits {
		b.drop(q)
	}
	b.owned = map[int]holding{}
	b.rested = time.Time{}
	b.table = wire.SeatTable{}
}

func (b *Book) drop(q ident.Quantity) {
	s := b.shard(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rates, q)
	delete(s.counts, q)
}

// rebase sets every share to what the held partitions give.
func (b *Book) rebase(now time.Time) {
	for _, l := range b.limits {
		s := b.shard(l.Quantity)
		s.mu.Lock()
		if l.Kind == KindRate {
			b.rebaseRate(now, s, l, b.baseOf(l, func(i int) bool { return b.lends(now, i) }))
		} else {
			b.rebaseCount(s, l, b.baseOf(l, b.holds))
		}
		s.mu.Unlock()
	}
}

// base is a host's part of a limit.
type base struct {
	held   int
	all    int
	newest ident.Revision // latest store revision at which a held partition was taken
	lostAt time.Time      // latest time at which one was taken from a lost holder
}

// holds tells whether the host uses the partition: it owns it and was not asked to let go.
func (b *Book) holds(i int) bool {
	_, ok := b.owned[i]
	return ok && b.table.Partitions[i].Next == ""
}

// lends tells whether the partition's rates may be spent and lent: no loan of an earlier process may last.
func (b *Book) lends(now time.Time, i int) bool {
	return b.holds(i) && !now.Before(b.owned[i].usableAt)
}

func (b *Book) baseOf(l Limit, holds func(int) bool) base {
	var out base
	for _, i := range PartitionsOf(l) {
		out.all++
		if !holds(i) {
			continue
		}
		out.held++
		h := b.owned[i]
		out.newest = max(out.newest, h.revision)
		if h.lostAt.After(out.lostAt) {
			out.lostAt = h.lostAt
		}
	}
	return out
}

func (b *Book) rebaseRate(now time.Time, s *shard, l Limit, part base) {
	r, ok := s.rates[l.Quantity]
	if !ok {
		r = NewRate(now)
		s.rates[l.Quantity] = r
	}
	r.SetLimit(l.Rate)
	// A limit created while this host already held the partitions has not been spent by anyone else.
	full := !ok && part.held > 0 && l.Created > part.newest
	r.SetBase(now, fraction(l.Rate, int64(part.held), int64(part.all)), fraction(l.Burst, int64(part.held), int64(part.all)), full)
}

func (b *Book) rebaseCount(s *shard, l Limit, part base) {
	c, ok := s.counts[l.Quantity]
	if !ok {
		c = NewCount()
		s.counts[l.Quantity] = c
	}
	var readyAt time.Time
	if !part.lostAt.IsZero() {
		readyAt = part.lostAt.Add(l.Hold)
	}
	c.SetBase(int(l.Burst)*part.held/part.all, readyAt)
}

// Releasable returns the partitions that the host was asked to let go of and that nothing lent or in use needs any more.
func (b *Book) Releasable(now time.Time) []int {
	b.mu.Lock()
	defer b.mu.Unlock()
	leaving := seat.PendingRelease(b.table, b.self)
	if len(leaving) == 0 {
		return nil
	}
	for _, l := range b.limits {
		if !b.settled(now, l) {
			return nil
		}
	}
	return leaving
}

func (b *Book) settled(now time.Time, l Limit) bool {
	part := b.baseOf(l, b.holds)
	s := b.shard(l.Quantity)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Kind == KindCount {
		c, ok := s.counts[l.Quantity]
		return !ok || c.Settled(now, int(l.Burst)*part.held/part.all)
	}
	r, ok := s.rates[l.Quantity]
	return !ok || r.Settled(now, fraction(l.Rate, int64(part.held), int64(part.all)), fraction(l.Burst, int64(part.held), int64(part.all)))
}

// Limit returns a limit by its quantity.
func (b *Book) Limit(q ident.Quantity) (Limit, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.limits[q]
	return l, ok
}

// Holders returns the hosts that hold partitions of the limit, this host not included, in the order of the partitions.
func (b *Book) Holders(q ident.Quantity) []ident.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	l, ok := b.limits[q]
	if !ok || len(b.table.Partitions) == 0 {
		return nil
	}
	var hosts []ident.Host
	seen := map[ident.Host]bool{b.self: true, "": true}
	for _, i := range PartitionsOf(l) {
		owner := ident.Host(b.table.Partitions[i].Owner)
		if !seen[owner] {
			seen[owner] = true
			hosts = append(hosts, owner)
		}
	}
	return hosts
}

// Rate runs f on the share of a rate, under its lock; false when there is none.
func (b *Book) Rate(q ident.Quantity, f func(*Rate)) bool {
	s := b.shard(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rates[q]
	if ok {
		f(r)
	}
	return ok
}

// Count runs f on the share of a number of slots, under its lock; false when there is none.
func (b *Book) Count(q ident.Quantity, f func(*Count)) bool {
	s := b.shard(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.counts[q]
	if ok {
		f(c)
	}
	return ok
}

// Quantities returns every limited quantity of the kind.
func (b *Book) Quantities(kind Kind) []ident.Quantity {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []ident.Quantity
	for q, l := range b.limits {
		if l.Kind == kind {
			list = append(list, q)
		}
	}
	return list
}

// HomeServers returns the backend servers whose slots this host hands out.
func (b *Book) HomeServers() []ident.BackendServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []ident.BackendServer
	for q, l := range b.limits {
		if l.Kind != KindCount || b.baseOf(l, b.holds).held == 0 {
			continue
		}
		list = append(list, ident.BackendServer(strings.TrimPrefix(string(q), serverPrefix)))
	}
	return list
}
