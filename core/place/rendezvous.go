package place

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
)

// assignedServers returns the servers to which rendezvous hashing assigns the object, one in each group.
func (p *pool) assignedServers(now time.Time, q Query, settings *Settings) []*server {
	if q.Object == "" {
		return nil
	}
	type best struct {
		server *server
		score  uint64
	}
	local := settings.Location
	byZone := p.assignsByZone(now, q, local)
	objectHash := xxhash.Sum64String(string(q.Object))
	groups := map[group]best{}
	for _, srv := range p.servers {
		if !srv.eligible(Query{Version: q.Version, AllowedRegions: q.AllowedRegions, Restricted: q.Restricted}) || srv.isCold(now) {
			continue
		}
		if _, limited := settings.Limits.Named(srv.limitKey()); limited {
			continue
		}
		g := group{region: srv.Region}
		if byZone && srv.Region == local.Region {
			g.zone = srv.Zone
		}
		score := mix(objectHash ^ srv.hash)
		if b, ok := groups[g]; !ok || score > b.score {
			groups[g] = best{srv, score}
		}
	}
	list := make([]*server, 0, len(groups))
	for _, g := range groups {
		list = append(list, g.server)
	}
	return list
}

// group identifies a set of servers in which each object is assigned to one server.
type group struct {
	region ident.Region
	zone   ident.AvailabilityZone // empty for the whole region
}

// assignsByZone reports whether the object is assigned to a server in each zone of the local region instead of one in the
// whole region. It is if sending its requests to other zones has cost at least as much as the extra time of a cold run,
// and the servers of the local zone can cache all recent objects.
func (p *pool) assignsByZone(now time.Time, q Query, local Location) bool {
	stats := p.objects.observe(now, q.Object)
	rt := p.runTimeOf(q.Route)
	if stats.crossZoneCost < rt.expected(false, q.LatencyTarget)-rt.expected(true, q.LatencyTarget) {
		return false
	}
	servers := 0
	for _, srv := range p.servers {
		if srv.Zone == local.Zone && !srv.Draining && !srv.isCold(now) && (q.Version == "" || srv.Version == q.Version) {
			servers++
		}
	}
	return servers > 0 && p.objects.fitOn(servers)
}

// mix is the 64-bit finalizer of MurmurHash3. It makes the scores of one object at several servers independent.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
