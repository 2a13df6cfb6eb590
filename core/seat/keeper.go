package seat

import (
	"slices"
	"sort"
	"time"

	"jayshift/core/elect"
	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	// RunMemory is how long keepers remember a run.
	RunMemory = 10 * time.Minute
	// keepersOfKey is how many long-standing keepers each key has.
	keepersOfKey = 3
	// formTime is how long the number of seats must stand still before the first keepers are enrolled.
	formTime = 3 * time.Second
	// fromTheStart marks keepers enrolled before any run was recorded.
	fromTheStart = 1
)

// Keeper is a host that may hold the record of a run.
type Keeper struct {
	Host  ident.Host
	Gone  bool // removed, and its memory with it
	since int
}

// forget notes that a seat's memory of runs is gone, and drops notes that are older than the memory itself.
func forget(now time.Time, gone []wire.GoneKeeper, s wire.Seat) []wire.GoneKeeper {
	horizon := int(now.Add(-RunMemory).UnixMilli())
	gone = slices.DeleteFunc(gone, func(g wire.GoneKeeper) bool { return g.Removed < horizon })
	if s.KeeperSince == 0 {
		return gone
	}
	return append(gone, wire.GoneKeeper{Host: s.Host, KeeperSince: s.KeeperSince, Removed: int(now.UnixMilli())})
}

// enroll makes seats keepers: the first ones all together once the fleet has formed, later ones as they come.
func (w *Watcher) enroll(now time.Time, t wire.SeatTable) (wire.SeatTable, bool) {
	since := int(now.UnixMilli())
	if !slices.ContainsFunc(t.Seats, func(s wire.Seat) bool { return s.KeeperSince > 0 }) && len(t.Gone) == 0 {
		since = fromTheStart
	}
	if now.Sub(w.steady) < formTime {
		return t, false
	}
	next := clone(t)
	changed := false
	for i := range next.Seats {
		s := &next.Seats[i]
		if s.KeeperSince == 0 && s.Mark == 0 {
			s.KeeperSince = since
			changed = true
		}
	}
	return next, changed
}

// Without returns the table as it will be when the host has left.
func Without(t wire.SeatTable, host ident.Host) wire.SeatTable {
	t.Seats = slices.DeleteFunc(slices.Clone(t.Seats), func(s wire.Seat) bool { return s.Host == string(host) })
	return t
}

// Keepers returns the hosts that may hold a record of the key from any time within the memory of runs.
//
// Hosts are ranked by rendezvous hashing. The walk goes down the ranks until it has met three hosts that were keepers
// during the whole memory; whatever the seats were when a run started, its keepers are among those walked past.
func Keepers(now time.Time, t wire.SeatTable, key string) []Keeper {
	horizon := int(now.Add(-RunMemory).UnixMilli())
	var list []Keeper
	for _, s := range t.Seats {
		if s.KeeperSince > 0 {
			list = append(list, Keeper{Host: ident.Host(s.Host), since: s.KeeperSince})
		}
	}
	for _, g := range t.Gone {
		if g.Removed >= horizon {
			list = append(list, Keeper{Host: ident.Host(g.Host), Gone: true, since: g.KeeperSince})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return elect.Score(key, list[i].Host) < elect.Score(key, list[j].Host) })
	standing := 0
	for i, k := range list {
		if k.since <= horizon {
			standing++
		}
		if standing == keepersOfKey {
			return list[:i+1]
		}
	}
	return list
}
