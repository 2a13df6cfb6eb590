package route

import (
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
)

// Place is where a host stands.
type Place struct {
	Zone   ident.AvailabilityZone
	Region ident.Region
}

// Query is what a request asks of a pick.
type Query struct {
	Snapshot *config.Snapshot
	Place    Place
	Version  ident.Version // wanted version, empty for any
	// Spare returns how many slots of the server this host could take without asking a peer.
	Spare func(ident.BackendServer) int
	// Skip tells servers that the request has tried.
	Skip func(ident.BackendServer) bool
	// Room tells whether a region takes more requests, and the link there more bytes.
	Room func(ident.Region) bool
	// Random returns a number from 0 up to n.
	Random func(n int) int
}

// Choice is one server to try.
type Choice struct {
	Server *Server
	Borrow bool // no slot is at hand; one must be borrowed from a peer
}

// Distances, near to far.
const (
	ownZone = iota
	ownRegion
	farRegion
	distances
)

// Pick returns the server for a request, and false when none may take it.
// Servers with a slot at hand in the own region come first, then servers in the region whose slot must be borrowed,
// then other regions that have room. Within a group the better of two random ones is taken, so that hosts with
// equal, lagging hints do not all choose the same.
func Pick(now time.Time, servers []*Server, q Query) (Choice, bool) {
	var atHand, atPeers [distances][]*Server
	for _, s := range servers {
		if !eligible(now, s, q) {
			continue
		}
		d := distance(s, q.Place)
		if q.Spare(s.Name) > 0 {
			atHand[d] = append(atHand[d], s)
		} else {
			atPeers[d] = append(atPeers[d], s)
		}
	}
	near := [][]*Server{atHand[ownZone], atHand[ownRegion], append(atPeers[ownZone], atPeers[ownRegion]...)}
	for i, group := range near {
		if s := better(now, group, q); s != nil {
			return Choice{Server: s, Borrow: i == 2}, true
		}
	}
	for i, group := range [][]*Server{atHand[farRegion], atPeers[farRegion]} {
		if s := better(now, withRoom(group, q), q); s != nil {
			return Choice{Server: s, Borrow: i == 1}, true
		}
	}
	return Choice{}, false
}

func eligible(now time.Time, s *Server, q Query) bool {
	if q.Version != "" && s.Version != q.Version {
		return false
	}
	if q.Skip(s.Name) || q.Snapshot.ServerDrained(s.Server) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usable(now)
}

func distance(s *Server, p Place) int {
	switch {
	case s.Zone == p.Zone:
		return ownZone
	case s.Region == p.Region:
		return ownRegion
	}
	return farRegion
}

func withRoom(group []*Server, q Query) []*Server {
	var list []*Server
	for _, s := range group {
		if q.Room(s.Region) {
			list = append(list, s)
		}
	}
	return list
}

// better returns the cheaper of two random servers of the group, nil when it is empty.
func better(now time.Time, group []*Server, q Query) *Server {
	if len(group) == 0 {
		return nil
	}
	a := group[q.Random(len(group))]
	if len(group) == 1 {
		return a
	}
	b := group[q.Random(len(group))]
	a.mu.Lock()
	costA := a.cost(now)
	a.mu.Unlock()
	b.mu.Lock()
	costB := b.cost(now)
	b.mu.Unlock()
	if costB < costA {
		return b
	}
	return a
}
