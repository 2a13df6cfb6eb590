package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
)

// homes returns the servers where the object lives, one for each group.
func (s *shard) homes(now time.Time, q Query, from Place) []*server {
	if q.Object == "" {
		return nil
	}
	type best struct {
		server *server
		score  uint64
	}
	byZone := s.livesInZone(now, q, from)
	object := xxhash.Sum64String(string(q.Object))
	groups := map[group]best{}
	for _, v := range s.servers {
		if !v.suits(Query{Version: q.Version, Homes: q.Homes, Limited: q.Limited}) || v.isCold(now) {
			continue
		}
		g := group{region: v.Region}
		if byZone && v.Region == from.Region {
			g.zone = v.Zone
		}
		score := mix(object ^ v.hash)
		if b, ok := groups[g]; !ok || score > b.score {
			groups[g] = best{v, score}
		}
	}
	list := make([]*server, 0, len(groups))
	for _, g := range groups {
		list = append(list, g.server)
	}
	return list
}

// group is a set of servers among which an object lives at one.
type group struct {
	region ident.Region
	zone   ident.AvailabilityZone // empty for all of the region
}

// livesInZone tells whether the object lives at a server of the own zone: once its runs in other zones have cost as much
// as a run at a server that does not know it, if the own zone's servers can remember all objects.
func (s *shard) livesInZone(now time.Time, q Query, from Place) bool {
	o := s.objects.see(now, q.Object)
	w := s.workOf(q.Route)
	if o.paid < w.expected(false, q.Aim)-w.expected(true, q.Aim) {
		return false
	}
	servers := 0
	for _, v := range s.servers {
		if v.Zone == from.Zone && !v.Draining && !v.isCold(now) && (q.Version == "" || v.Version == q.Version) {
			servers++
		}
	}
	return servers > 0 && s.objects.fit(servers)
}

// mix spreads the bits of a hash, so that scores of one object at several servers are independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
