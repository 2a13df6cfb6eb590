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
	// Empty tells servers whose slots were just found to be taken everywhere.
	Empty func(ident.BackendServer) bool
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
)

// Costs that a choice adds to a server's own, in seconds.
const (
	zoneCost   = 0.001  // to another availability zone and back
	borrowCost = 0.0015 // to ask a peer for a slot
)

// Pick returns the server for a request, and false when none may take it.
// Servers of the own region come first: the cheaper of two random ones with a slot at hand, unless one of two whose
// slot must be borrowed is cheaper still. Other regions that have room follow. Two random ones are compared, not all,
// so that hosts with equal, lagging hints do not all choose the same.
func Pick(now time.Time, servers []*Server, q Query) (Choice, bool) {
	var near, far groups
	for _, s := range servers {
		if !eligible(now, s, q) {
			continue
		}
		if distance(s, q.Place) != farRegion {
			near.add(s, q)
			continue
		}
		if q.Room(s.Region) {
			far.add(s, q)
		}
	}
	if c, ok := near.best(now, q); ok {
		return c, true
	}
	return far.best(now, q)
}

// groups tells servers with a slot at hand from those whose slot must be borrowed.
type groups struct{ atHand, atPeers []*Server }

func (g *groups) add(s *Server, q Query) {
	switch {
	case q.Spare(s.Name) > 0:
		g.atHand = append(g.atHand, s)
	case !q.Empty(s.Name):
		g.atPeers = append(g.atPeers, s)
	}
}

// best returns the cheaper choice of both groups.
func (g *groups) best(now time.Time, q Query) (Choice, bool) {
	own, ownCost := better(now, g.atHand, q)
	other, otherCost := better(now, g.atPeers, q)
	if own == nil && other == nil {
		return Choice{}, false
	}
	if own == nil || (other != nil && otherCost+borrowCost < ownCost) {
		return Choice{Server: other, Borrow: true}, true
	}
	return Choice{Server: own}, true
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

// better returns the cheaper of two different random servers of the group with its cost, nil when the group is empty.
func better(now time.Time, group []*Server, q Query) (*Server, float64) {
	if len(group) == 0 {
		return nil, 0
	}
	i := q.Random(len(group))
	a, b := group[i], group[i]
	if len(group) > 1 {
		b = group[(i+1+q.Random(len(group)-1))%len(group)]
	}
	costA, costB := a.costFrom(now, q.Place), b.costFrom(now, q.Place)
	if costB < costA {
		return b, costB
	}
	return a, costA
}
