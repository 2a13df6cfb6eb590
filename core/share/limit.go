package share

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/wire"
)

const serverPrefix = "server/"

// Kind tells how a limit is spent.
type Kind int

const (
	// KindRate is a rate and burst.
	KindRate Kind = iota
	// KindCount is a number of slots.
	KindCount
)

// Slots of a lost holder are handed out again after the longest request, and longer by these: requests take time to
// end when they are cancelled, and its loans counted by other clocks.
const (
	holdMargin = 500 * time.Millisecond
	holdShare  = 10
)

// linkBurstSeconds is the burst of a link, in seconds of its rate.
const linkBurstSeconds = 0.25

// Limit is one quantity that is limited across the fleet.
type Limit struct {
	Quantity ident.Quantity
	Kind     Kind
	Rate     int64 // millionths a second
	Burst    int64 // millionths, or slots for KindCount
	Parts    int   // partitions that it is cut along
	Home     int   // partition of a limit with one part, counted from one; zero derives it from the name
	Created  ident.Revision
	Hold     time.Duration // for slots, time after which no request of a lost holder runs
}

// Team returns the quantity of a team's rate and burst.
func Team(t ident.Team) ident.Quantity { return ident.Quantity("team/" + string(t)) }

// Shift returns the quantity of a shift's cap.
func Shift(s ident.Shift) ident.Quantity { return ident.Quantity("shift/" + string(s)) }

// Region returns the quantity of a region's capacity.
func Region(r ident.Region) ident.Quantity { return ident.Quantity("region/" + string(r)) }

// Link returns the quantity of the bytes from one region to another.
func Link(p config.RegionPair) ident.Quantity {
	return ident.Quantity("link/" + string(p.From) + "/" + string(p.To))
}

// Server returns the quantity of a backend server's slots.
func Server(b ident.BackendServer) ident.Quantity { return ident.Quantity(serverPrefix + string(b)) }

// Limits returns every limit that the configuration states. No request runs for longer than the longest time given.
func Limits(s *config.Snapshot, longest time.Duration) []Limit {
	var list []Limit
	for _, r := range s.Resources() {
		l, ok := limitOf(r)
		if !ok {
			continue
		}
		l.Created = ident.Revision(r.Created)
		if r.BackendServer != nil {
			service, _ := s.Service(ident.Service(r.BackendServer.Service))
			deadline := config.DeadlineOf(service.Service, longest)
			l.Hold = deadline + deadline/holdShare + holdMargin
		}
		list = append(list, l)
	}
	return list
}

func limitOf(r wire.Resource) (Limit, bool) {
	switch {
	case r.Team != nil:
		return rateLimit(Team(ident.Team(r.Name)), r.Team.Rate, r.Team.Burst, r.Team.Parts), true
	case r.Shift != nil && r.Shift.Cap > 0:
		return rateLimit(Shift(ident.Shift(r.Name)), r.Shift.Cap, r.Shift.CapBurst, r.Shift.Parts), true
	case r.Region != nil && r.Region.Rate > 0:
		return rateLimit(Region(ident.Region(r.Name)), r.Region.Rate, r.Region.Burst, r.Region.Parts), true
	case r.Link != nil:
		pair := config.RegionPair{From: ident.Region(r.Link.From), To: ident.Region(r.Link.To)}
		rate := r.Link.BytesPerSecond
		return rateLimit(Link(pair), rate*(1-linkBurstSeconds), rate*linkBurstSeconds, r.Link.Parts), true
	case r.BackendServer != nil:
		l := Limit{Quantity: Server(ident.BackendServer(r.Name)), Kind: KindCount, Burst: int64(r.BackendServer.Slots), Parts: 1}
		l.Home = r.BackendServer.Home
		return l, true
	}
	return Limit{}, false
}

// transit is the time by which one request may take longer than another from its admission to its backend server.
// That much of the rate is kept out of the burst, so that a limit also holds where requests arrive.
const (
	transit        = 20 * time.Millisecond
	transitPercent = 10 // most of the burst that is kept out
)

func rateLimit(q ident.Quantity, rate, burst float64, parts int) Limit {
	burst -= min(rate*transit.Seconds(), burst*transitPercent/100)
	return Limit{Quantity: q, Kind: KindRate, Rate: Micro(rate), Burst: Micro(burst), Parts: max(1, min(parts, seat.PartitionCount))}
}

// stride spreads the parts of a limit over the partitions: neighbours tend to have the same holder.
// It is a prime above any number of regions, so that all parts fall on different partitions and on all regions.
const stride = 29

// PartitionsOf returns the partitions that the limit is cut along.
func PartitionsOf(l Limit) []int {
	if l.Parts == 1 && l.Home > 0 {
		return []int{(l.Home - 1) % seat.PartitionCount}
	}
	first := int(xxhash.Sum64String(string(l.Quantity)) % seat.PartitionCount)
	list := make([]int, l.Parts)
	for i := range list {
		list[i] = (first + i*stride) % seat.PartitionCount
	}
	return list
}
