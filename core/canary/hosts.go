package canary

import (
	"slices"
	"strings"
	"time"

	"jayshift/core/wire"
)

// minListed is the share below which a new list of a trial's hosts is written: of the hosts on the list that are active, and of
// the active ones that are on the list. With fewer, the version gets too few requests to be judged.
const minListed = 0.75

// ListHosts returns the list of a trial's hosts, in order of their names.
func ListHosts(active []wire.TrialHost) []wire.TrialHost {
	slices.SortFunc(active, func(a, b wire.TrialHost) int { return strings.Compare(a.Host, b.Host) })
	return active
}

// IsOutworn reports whether a new list of the active hosts is needed: too many hosts on the list are not active any more, or
// too many active ones are not on it. A list of hosts that are all on the present one would gain nothing: whoever would write
// it may merely hear few of the others.
func IsOutworn(list, active []wire.TrialHost) bool {
	listed := 0
	for _, h := range list {
		if slices.Contains(active, h) {
			listed++
		}
	}
	if listed == len(active) {
		return false
	}
	return float64(listed) < minListed*float64(max(len(list), len(active)))
}

// Entry is a host's use of a trial's list of hosts. The zero value uses none.
type Entry struct {
	id         TrialID
	base       Counts // when this host first used the list
	usableFrom time.Time
}

// Next returns the use of the list with the id, which may be the same one. Unless it is the first list of the move, it may be
// used only after a pause in which the hosts on the list before have read it or lost their permission.
func (e Entry) Next(now time.Time, id TrialID, counts Counts, pause time.Duration) Entry {
	if e.id == id {
		return e
	}
	next := Entry{id: id, usableFrom: now}
	if id.List > 1 {
		next.base, next.usableFrom = counts, now.Add(pause)
	}
	return next
}

// UsableFrom returns when the list may be used.
func (e Entry) UsableFrom() time.Time { return e.usableFrom }

// Allowed returns how many requests this host may have sent to the version since it first used the list.
func (e Entry) Allowed(now time.Time, t Trial, counts Counts, self wire.TrialHost, list []wire.TrialHost) int {
	if now.Before(e.usableFrom) {
		return 0
	}
	t.Hosts, t.Relisted = len(list), e.id.List > 1
	return HostLimit(t.Limit(counts.Since(e.base)), slices.Index(list, self), len(list))
}
