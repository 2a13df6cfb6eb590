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
	steerPath     = "/v1/steer"
	steerLifetime = 5 * time.Second // how long callers may cache an answer
	steerEntries  = 5
	heardWithin   = 3 * time.Second
	fullHeadroom  = 0.1 // a host with less free capacity is named last
)

// steer tells a caller which entries to use, best first.
func (e *Entry) steer(w http.ResponseWriter, r *http.Request) {
	client, err := clientAddress(r)
	if err != nil {
		e.refuse(w, problem{status: http.StatusBadRequest, title: "client is not an IP number", notRun: true})
		return
	}
	s := e.seams.Snapshot()
	site, zone, _ := s.SiteFor(client)
	now := time.Now()
	answer := wire.SteerAnswer{
		Entries: e.rank(now, s, zone), Site: string(site), Revision: int(s.Revision),
		GoodUntil: now.Add(steerLifetime).UTC().Format(time.RFC3339Nano),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// clientAddress returns the address that the caller asks for, or its own.
func clientAddress(r *http.Request) (netip.Addr, error) {
	if text := r.URL.Query().Get("client"); text != "" {
		return netip.ParseAddr(text)
	}
	from, err := netip.ParseAddrPort(r.RemoteAddr)
	return from.Addr(), err
}

// candidate is one entry with what decides its rank, better when lower.
type candidate struct {
	entry    wire.SteerEntry
	distance int
	full     bool
	headroom float64
}

func (e *Entry) rank(now time.Time, s *config.Snapshot, zone ident.AvailabilityZone) []wire.SteerEntry {
	peers := e.seams.Peers()
	var list []candidate
	for _, seated := range e.seams.Table().Seats {
		if c, ok := e.candidate(now, s, zone, seated, peers); ok {
			list = append(list, c)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	entries := make([]wire.SteerEntry, 0, steerEntries)
	for _, c := range list[:min(len(list), steerEntries)] {
		entries = append(entries, c.entry)
	}
	return entries
}

func (c candidate) before(o candidate) bool {
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

// candidate weighs one seated host; hosts that are marked, drained, stopping or unheard of are left out.
func (e *Entry) candidate(now time.Time, s *config.Snapshot, zone ident.AvailabilityZone, seated wire.Seat, peers map[ident.Host]member.Peer) (candidate, bool) {
	host := ident.Host(seated.Host)
	_, headroom, draining := e.Load()
	if host != e.seams.Host {
		p, ok := peers[host]
		if !ok || now.Sub(p.LastHeartbeat) > heardWithin {
			return candidate{}, false
		}
		headroom, draining = p.Headroom, p.Draining
	}
	if draining || seated.Mark > 0 || drainedHost(s, seated) {
		return candidate{}, false
	}
	c := candidate{headroom: headroom, full: headroom < fullHeadroom, distance: farAway}
	c.entry = wire.SteerEntry{Host: seated.Host, Address: seated.CallerAddress, AvailabilityZone: seated.AvailabilityZone}
	switch {
	case seated.AvailabilityZone == string(zone):
		c.distance = sameZone
	case seated.Region == string(s.RegionOf(zone)):
		c.distance = sameRegion
	}
	return c, true
}

const (
	sameZone = iota
	sameRegion
	farAway
)

func drainedHost(s *config.Snapshot, seated wire.Seat) bool {
	return s.Drained(config.KindHost, seated.Host) ||
		s.Drained(config.KindAvailabilityZone, seated.AvailabilityZone) ||
		s.Drained(config.KindRegion, seated.Region)
}
