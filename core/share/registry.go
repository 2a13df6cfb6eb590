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

// Registry holds all shares of one host in shards, each with its own lock.
type Registry struct {
	self   ident.Host
	shards [shardCount]shard

	mu          sync.Mutex // guards limits, owned, table and allUsableAt
	limits      map[ident.Quantity]Limit
	owned       map[int]ownership
	table       wire.SeatTable
	allUsableAt time.Time // latest usableAt of the owned partitions, zero when all are usable

	maxLoanTerm time.Duration // longest term of a rate loan, on the lender's clock
}

// ownership describes a partition that this host owns.
type ownership struct {
	generation  int            // seat table generation in which the host became its owner
	revision    ident.Revision // store revision at which this host is known to have owned it
	takenOverAt time.Time      // when it was taken over from a lost host, zero when it was handed over
	usableAt    time.Time      // before this, loans made by the host's previous process may not have ended
}

type shard struct {
	mu          sync.Mutex
	rates       map[ident.Quantity]*Rate
	concurrency map[ident.Quantity]*Concurrency
}

// NewRegistry returns a registry without shares. No rate loan lasts longer than maxLoanTerm on its lender's clock.
func NewRegistry(self ident.Host, maxLoanTerm time.Duration) *Registry {
	reg := &Registry{self: self, maxLoanTerm: maxLoanTerm, limits: map[ident.Quantity]Limit{}, owned: map[int]ownership{}}
	for i := range reg.shards {
		reg.shards[i].rates = map[ident.Quantity]*Rate{}
		reg.shards[i].concurrency = map[ident.Quantity]*Concurrency{}
	}
	return reg
}

func (reg *Registry) shard(q ident.Quantity) *shard {
	return &reg.shards[xxhash.Sum64String(string(q))%shardCount]
}

// SetTable applies a seat table that was read at the given store revision. Tables of an older generation are ignored.
func (reg *Registry) SetTable(now time.Time, t wire.SeatTable, revision ident.Revision) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if t.Generation < reg.table.Generation {
		return
	}
	reg.table = t
	owned := map[int]ownership{}
	for i, p := range t.Partitions {
		if p.Owner != string(reg.self) {
			continue
		}
		o, ok := reg.owned[i]
		if !ok || o.generation != p.Since {
			o = ownership{generation: p.Since, revision: revision}
			if !p.Fresh {
				o.takenOverAt = now
			}
			if p.Retaken {
				o.usableAt = now.Add(reg.maxLoanTerm)
			}
		}
		owned[i] = o
		reg.allUsableAt = later(reg.allUsableAt, o.usableAt)
	}
	reg.owned = owned
	reg.updateBases(now)
}

// Refresh adds the rates of partitions that have become usable since the last update.
func (reg *Registry) Refresh(now time.Time) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	if reg.allUsableAt.IsZero() {
		return
	}
	reg.updateBases(now)
	if !now.Before(reg.allUsableAt) {
		reg.allUsableAt = time.Time{}
	}
}

// SetLimits replaces all limits, and removes the shares of limits that no longer exist.
func (reg *Registry) SetLimits(now time.Time, limits []Limit) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	next := make(map[ident.Quantity]Limit, len(limits))
	for _, l := range limits {
		next[l.Quantity] = l
	}
	for q := range reg.limits {
		if _, ok := next[q]; !ok {
			reg.removeShare(q)
		}
	}
	reg.limits = next
	reg.updateBases(now)
}

// Reset removes all shares. It is called when a host takes a seat again.
func (reg *Registry) Reset() {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	for q := range reg.limits {
		reg.removeShare(q)
	}
	reg.owned = map[int]ownership{}
	reg.allUsableAt = time.Time{}
	reg.table = wire.SeatTable{}
}

func (reg *Registry) removeShare(q ident.Quantity) {
	s := reg.shard(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.rates, q)
	delete(s.concurrency, q)
}

// Releasable returns the partitions that this host has been asked to release, or nil while loans or slots in use still
// need them.
func (reg *Registry) Releasable(now time.Time) []int {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	leaving := seat.PendingRelease(reg.table, reg.self)
	if len(leaving) == 0 {
		return nil
	}
	for _, l := range reg.limits {
		if !reg.canShrink(now, l) {
			return nil
		}
	}
	return leaving
}

// canShrink reports whether the partitions that are not to be released cover everything lent or in use.
func (reg *Registry) canShrink(now time.Time, l Limit) bool {
	assigned := reg.assignmentOf(l, reg.isHeld)
	s := reg.shard(l.Quantity)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.Kind == KindConcurrency {
		c, ok := s.concurrency[l.Quantity]
		return !ok || c.CanShrink(now, int(l.Burst)*assigned.held/assigned.total)
	}
	r, ok := s.rates[l.Quantity]
	return !ok || r.CanShrink(now, fraction(l.Rate, int64(assigned.held), int64(assigned.total)), fraction(l.Burst, int64(assigned.held), int64(assigned.total)))
}

// Limit returns the limit of the quantity, and whether there is one.
func (reg *Registry) Limit(q ident.Quantity) (Limit, bool) {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	l, ok := reg.limits[q]
	return l, ok
}

// Owners returns the other hosts that own partitions of the limit, in the order of the partitions.
func (reg *Registry) Owners(q ident.Quantity) []ident.Host {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	l, ok := reg.limits[q]
	if !ok || len(reg.table.Partitions) == 0 {
		return nil
	}
	var hosts []ident.Host
	seen := map[ident.Host]bool{reg.self: true, "": true}
	for _, i := range PartitionsOf(l) {
		owner := ident.Host(reg.table.Partitions[i].Owner)
		if !seen[owner] {
			seen[owner] = true
			hosts = append(hosts, owner)
		}
	}
	return hosts
}

// WithRate calls f with the quantity's rate share while holding its lock. It returns false if there is no such share.
func (reg *Registry) WithRate(q ident.Quantity, f func(*Rate)) bool {
	s := reg.shard(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rates[q]
	if ok {
		f(r)
	}
	return ok
}

// WithConcurrency calls f with the quantity's share of slots while holding its lock. It returns false if there is no such
// share.
func (reg *Registry) WithConcurrency(q ident.Quantity, f func(*Concurrency)) bool {
	s := reg.shard(q)
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.concurrency[q]
	if ok {
		f(c)
	}
	return ok
}

// Quantities returns the quantities that have a limit of the kind.
func (reg *Registry) Quantities(kind Kind) []ident.Quantity {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var list []ident.Quantity
	for q, l := range reg.limits {
		if l.Kind == kind {
			list = append(list, q)
		}
	}
	return list
}

// AllocatedServers returns the backend servers whose slots this host allocates.
func (reg *Registry) AllocatedServers() []ident.BackendServer {
	reg.mu.Lock()
	defer reg.mu.Unlock()
	var list []ident.BackendServer
	for q, l := range reg.limits {
		if l.Kind != KindConcurrency || reg.assignmentOf(l, reg.isHeld).held == 0 {
			continue
		}
		list = append(list, ident.BackendServer(strings.TrimPrefix(string(q), serverPrefix)))
	}
	return list
}
