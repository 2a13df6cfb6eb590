package limit

import (
	"cmp"
	"slices"
	"time"

	"jayshift/core/elect"
	"jayshift/core/ident"
)

// Host is a host that may send requests to backend servers.
type Host struct {
	Name   ident.Host
	Region ident.Region
}

// view is the set of hosts that this host has counted as active from a time on.
type view struct {
	since time.Time
	hosts []Host // ordered by name
}

// views are the sets of hosts of the last settleTime, the current one last.
type views []view

func sortHosts(hosts []Host) []Host {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

func (v views) current() view { return v[len(v)-1] }

// add returns the views with a new set of hosts, or the same views if the set has not changed.
func (v views) add(now time.Time, hosts []Host) views {
	hosts = sortHosts(hosts)
	if slices.Equal(hosts, v.current().hosts) {
		return v
	}
	return append(v, view{since: now, hosts: hosts})
}

// expiry returns when the oldest view is too old to count, zero if it is the current one.
func (v views) expiry() time.Time {
	if len(v) < 2 {
		return time.Time{}
	}
	return v[1].since.Add(settleTime)
}

// prune returns the views without those that are too old to count.
func (v views) prune(now time.Time) views {
	for len(v) > 1 && !now.Before(v.expiry()) {
		v = v[1:]
	}
	return v
}

// senders returns how many hosts send requests to a server with the limit, and whether the host is one of them.
//
// They are hosts of the server's region, or any if that has none, so that requests reach the server by a short way. There
// are no more of them than requests per second: a host with a smaller part could not use it before it changes.
func (v view) senders(self ident.Host, s Server, rate Rate) (count int, isSender bool) {
	candidates := v.candidates(s.Region)
	count = min(max(int(rate), 1), len(candidates))
	own := elect.Score(string(s.ID), self)
	before, known := 0, false
	for _, h := range candidates {
		known = known || h.Name == self
		if h.Name != self && elect.Score(string(s.ID), h.Name) > own {
			before++
		}
	}
	return count, known && before < count
}

func (v view) candidates(region ident.Region) []Host {
	var local []Host
	for _, h := range v.hosts {
		if h.Region == region {
			local = append(local, h)
		}
	}
	if len(local) == 0 {
		return v.hosts
	}
	return local
}
