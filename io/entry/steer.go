package entry

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sort"
	"time"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/member"
)

const (
	steerPath       = "/v1/steer"
	steerTTL        = 5 * time.Second // how long callers may cache the response
	maxSteerEntries = 5
	maxPeerAge      = 3 * time.Second // hosts whose last heartbeat is older are left out
	minHeadroom     = 0.1             // hosts with a smaller free fraction of their capacity are listed last
)

// steer responds with the hosts that a client should send its requests to, best first.
func (e *Entry) steer(w http.ResponseWriter, r *http.Request) {
	client, err := clientAddress(r)
	if err != nil {
		e.writeProblem(w, problem{status: http.StatusBadRequest, title: "client is not an IP number", notRun: true})
		return
	}
	s := e.deps.Snapshot()
	site, zone, _ := s.SiteFor(client)
	now := time.Now()
	answer := wire.SteerAnswer{
		Entries: e.rank(now, s, zone), Site: string(site), Revision: int(s.Revision),
		GoodUntil: now.Add(steerTTL).UTC().Format(time.RFC3339Nano),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// clientAddress returns the address in the query's client parameter, or else the caller's own.
func clientAddress(r *http.Request) (netip.Addr, error) {
	if text := r.URL.Query().Get("client"); text != "" {
		return netip.ParseAddr(text)
	}
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	return from.Addr(), err
}

// candidate is a host with the values that it is ranked by.
type candidate struct {
	entry    wire.SteerEntry
	distance int
	full     bool
	headroom float64
}

// rank returns the best hosts for a client in the zone, at most maxSteerEntries.
func (e *Entry) rank(now time.Time, s *config.Snapshot, zone ident.AvailabilityZone) []wire.SteerEntry {
	peers := e.deps.Peers()
	var list []candidate
	for _, seat := range e.deps.Table().Seats {
		if c, ok := e.newCandidate(now, s, zone, seat, peers); ok {
			list = append(list, c)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].less(list[j]) })
	entries := make([]wire.SteerEntry, 0, maxSteerEntries)
	for _, c := range list[:min(len(list), maxSteerEntries)] {
		entries = append(entries, c.entry)
	}
	return entries
}

// less reports whether c ranks before o: hosts with headroom first, then closer ones, then those with more headroom.
func (c candidate) less(o candidate) bool {
	if c.full != o.full {
		return o.full
	}
	if c.distance != o.distance {
		return c.distance < o.distance
	}
	if c.headroom != o.headroom {
		return c.headroom > o.headroom
	}
	return c.entry.Host < o.entry.Host
}

// newCandidate returns the candidate for a seat. It returns false for a host that is draining, was drained by an
// operator, is marked for revocation, or has sent no heartbeat within maxPeerAge.
func (e *Entry) newCandidate(now time.Time, s *config.Snapshot, zone ident.AvailabilityZone, seat wire.Seat, peers map[ident.Host]member.Peer) (candidate, bool) {
	host := ident.Host(seat.Host)
	_, headroom, draining := e.Load()
	if host != e.deps.Host {
		p, ok := peers[host]
		if !ok || now.Sub(p.LastHeartbeat) > maxPeerAge {
			return candidate{}, false
		}
		headroom, draining = p.Headroom, p.Draining
	}
	if draining || seat.Mark > 0 || isDrained(s, seat) {
		return candidate{}, false
	}
	c := candidate{headroom: headroom, full: headroom < minHeadroom, distance: otherRegion}
	c.entry = wire.SteerEntry{Host: seat.Host, Address: seat.CallerAddress, AvailabilityZone: seat.AvailabilityZone}
	switch {
	case seat.AvailabilityZone == string(zone):
		c.distance = sameZone
	case seat.Region == string(s.RegionOf(zone)):
		c.distance = sameRegion
	}
	return c, true
}

// Distances between a host and a client.
const (
	sameZone = iota
	sameRegion
	otherRegion
)

// isDrained reports whether the host, its availability zone or its region is drained in the configuration.
func isDrained(s *config.Snapshot, seat wire.Seat) bool {
	return s.Drained(config.KindHost, seat.Host) ||
		s.Drained(config.KindAvailabilityZone, seat.AvailabilityZone) ||
		s.Drained(config.KindRegion, seat.Region)
}
