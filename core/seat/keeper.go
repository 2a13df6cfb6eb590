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
	// RunRetention is how long keepers retain the record of a run.
	RunRetention = 10 * time.Minute
	// keepersPerKey is the number of keepers of each key that must have been keepers for the whole of RunRetention.
	keepersPerKey = 3
	// formationDelay is how long the number of seats must stay unchanged before keepers or the first voters are added.
	formationDelay = 3 * time.Second
	// initialKeeperSince is the KeeperSince value of keepers that were added before any run was recorded.
	initialKeeperSince = 1
)

// Keeper is a host that may store the record of a run.
type Keeper struct {
	Host    ident.Host
	Removed bool // the host was removed from the table and its records are lost
	since   int
}

// recordRemovedKeeper adds the host of a removed seat to the removed keepers if it was a keeper, because its run records
// are lost. It drops entries older than RunRetention.
func recordRemovedKeeper(now time.Time, gone []wire.GoneKeeper, s wire.Seat) []wire.GoneKeeper {
	cutoff := int(now.Add(-RunRetention).UnixMilli())
	gone = slices.DeleteFunc(gone, func(g wire.GoneKeeper) bool { return g.Removed < cutoff })
	if s.KeeperSince == 0 {
		return gone
	}
	return append(gone, wire.GoneKeeper{Host: s.Host, KeeperSince: s.KeeperSince, Removed: int(now.UnixMilli())})
}

// addKeepers makes all unmarked seats keepers once the number of seats has been unchanged for formationDelay.
// The first keepers of a fleet get initialKeeperSince, later ones the present time.
func (rc *Reconciler) addKeepers(now time.Time, t wire.SeatTable) (wire.SeatTable, bool) {
	since := int(now.UnixMilli())
	if !slices.ContainsFunc(t.Seats, func(s wire.Seat) bool { return s.KeeperSince > 0 }) && len(t.Gone) == 0 {
		since = initialKeeperSince
	}
	if now.Sub(rc.seatCountSince) < formationDelay {
		return t, false
	}
	next := nextGeneration(t)
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

// Without returns the table without the host's seat, as it will be after the host has left.
func Without(t wire.SeatTable, host ident.Host) wire.SeatTable {
	t.Seats = slices.DeleteFunc(slices.Clone(t.Seats), func(s wire.Seat) bool { return s.Host == string(host) })
	return t
}

// Keepers returns the hosts that may store a record of the key written within the last RunRetention.
//
// Hosts are ranked by rendezvous hashing. The result is the shortest prefix of the ranking that contains keepersPerKey
// hosts that were keepers for the whole of RunRetention, or the whole ranking if there are fewer such hosts.
// It includes the keepers of every run started in that time, regardless of the seats at the start of the run.
func Keepers(now time.Time, t wire.SeatTable, key string) []Keeper {
	cutoff := int(now.Add(-RunRetention).UnixMilli())
	var list []Keeper
	for _, s := range t.Seats {
		if s.KeeperSince > 0 {
			list = append(list, Keeper{Host: ident.Host(s.Host), since: s.KeeperSince})
		}
	}
	for _, g := range t.Gone {
		if g.Removed >= cutoff {
			list = append(list, Keeper{Host: ident.Host(g.Host), Removed: true, since: g.KeeperSince})
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return elect.Score(key, list[i].Host) < elect.Score(key, list[j].Host) })
	established := 0
	for i, k := range list {
		if k.since <= cutoff {
			established++
		}
		if established == keepersPerKey {
			return list[:i+1]
		}
	}
	return list
}
