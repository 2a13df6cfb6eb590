package route

import (
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
)

// Location is the availability zone and the region of a host.
type Location struct {
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// Query holds the constraints of one request on the choice of a backend server.
type Query struct {
	Snapshot *config.Snapshot
	Location Location
	Version  ident.Version // required version; any version if empty
	// LocalSlots returns how many free slots of the server this host holds, which it can use without asking a peer.
	LocalSlots func(ident.BackendServer) int
	// Exhausted reports whether all hosts were recently found to have no free slot of the server.
	Exhausted func(ident.BackendServer) bool
	// Skip reports whether the request must not go to the server, for instance because an earlier attempt used it.
	Skip func(ident.BackendServer) bool
	// Wait returns how long the server's limit lets no further request of this host through, zero if one may be sent now.
	Wait func(*Server) time.Duration
	// HasCapacity reports whether the region and the link to it can take another request.
	HasCapacity func(ident.Region) bool
	// IntN returns a random number in [0, n).
	IntN func(n int) int
}

// Choice is the server that was picked for an attempt.
type Choice struct {
	Server *Server
	Borrow bool // this host holds no free slot and must borrow one from a peer
}

// Distances of a server, from near to far.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// Latencies in seconds that are added to the cost of a server.
const (
	crossZoneCost = 0.001  // round trip to another availability zone
	borrowCost    = 0.0015 // request to a peer for a slot
)

// Pick returns a server for a request, or false when no server may take it. Servers in the host's region are preferred
// to those in other regions with free capacity. Pick compares two random servers with a local slot and two random
// servers whose slot must be borrowed, and chooses the cheapest of them with the cost of borrowing included. It does
// not compare all servers, because hosts with the same outdated load reports would then all choose the same one.
func Pick(now time.Time, servers []*Server, q Query) (Choice, bool) {
	var inRegion, remote candidates
	for _, s := range servers {
		if !eligible(now, s, q) {
			continue
		}
		if distance(s, q.Location) != otherRegion {
			inRegion.add(s, q)
			continue
		}
		if q.HasCapacity(s.Region) {
			remote.add(s, q)
		}
	}
	if c, ok := inRegion.cheapest(now, q); ok {
		return c, true
	}
	return remote.cheapest(now, q)
}

// candidates holds the eligible servers, divided into those with a free local slot and those whose slot must be
// borrowed from a peer.
type candidates struct{ localSlot, peerSlot []*Server }

func (c *candidates) add(s *Server, q Query) {
	switch {
	case q.LocalSlots(s.Name) > 0:
		c.localSlot = append(c.localSlot, s)
	case !q.Exhausted(s.Name):
		c.peerSlot = append(c.peerSlot, s)
	}
}

// cheapest compares the best server of each group and returns the cheaper one.
func (c *candidates) cheapest(now time.Time, q Query) (Choice, bool) {
	local, localCost := cheaperOfTwo(now, c.localSlot, q)
	peer, peerCost := cheaperOfTwo(now, c.peerSlot, q)
	if local == nil && peer == nil {
		return Choice{}, false
	}
	if local == nil || (peer != nil && peerCost+borrowCost < localCost) {
		return Choice{Server: peer, Borrow: true}, true
	}
	return Choice{Server: local}, true
}

func eligible(now time.Time, s *Server, q Query) bool {
	if q.Version != "" && s.Version != q.Version {
		return false
	}
	if q.Skip(s.Name) || q.Wait(s) > 0 || q.Snapshot.ServerDrained(s.Server) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available(now)
}

func distance(s *Server, loc Location) int {
	switch {
	case s.Zone == loc.Zone:
		return sameZone
	case s.Region == loc.Region:
		return sameRegion
	}
	return otherRegion
}

// cheaperOfTwo returns the cheaper of two random servers and its cost, or nil when there are no servers.
func cheaperOfTwo(now time.Time, servers []*Server, q Query) (*Server, float64) {
	if len(servers) == 0 {
		return nil, 0
	}
	i := q.IntN(len(servers))
	a, b := servers[i], servers[i]
	if len(servers) > 1 {
		b = servers[(i+1+q.IntN(len(servers)-1))%len(servers)]
	}
	costA, costB := a.costFrom(now, q.Location), b.costFrom(now, q.Location)
	if costB < costA {
		return b, costB
	}
	return a, costA
}
