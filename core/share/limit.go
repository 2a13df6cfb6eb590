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

// Kind is the kind of a limit.
type Kind int

const (
	// KindRate limits the rate and burst of requests or bytes.
	KindRate Kind = iota
	// KindConcurrency limits the number of slots, that is of concurrent requests.
	KindConcurrency
)

// The slots of a lost host are handed out again after the longest request time, plus that time divided by reuseDivisor,
// plus reuseMargin, since canceled requests take time to end and the deadlines of the host's loans are on other clocks.
const (
	reuseMargin  = 500 * time.Millisecond
	reuseDivisor = 10
)

// linkBurstSeconds is the burst of a link, in seconds of its rate.
const linkBurstSeconds = 0.25

// Limit is a fleet-wide limit on one quantity.
type Limit struct {
	Quantity      ident.Quantity
	Kind          Kind
	Rate          int64 // millionths per second
	Burst         int64 // millionths, or slots for KindConcurrency
	Parts         int   // number of partitions that the limit is divided among
	HomePartition int   // partition of a limit with one part, counted from 1; 0 derives it from the quantity's name
	Created       ident.Revision
	ReuseDelay    time.Duration // for slots, time after which no request of a lost host is running
}

// TeamQuantity returns the quantity of a team's rate and burst.
func TeamQuantity(t ident.Team) ident.Quantity { return ident.Quantity("team/" + string(t)) }

// ShiftQuantity returns the quantity of a shift's cap.
func ShiftQuantity(s ident.Shift) ident.Quantity { return ident.Quantity("shift/" + string(s)) }

// RegionQuantity returns the quantity of a region's capacity.
func RegionQuantity(r ident.Region) ident.Quantity { return ident.Quantity("region/" + string(r)) }

// LinkQuantity returns the quantity of the bytes from one region to another.
func LinkQuantity(p config.RegionPair) ident.Quantity {
	return ident.Quantity("link/" + string(p.From) + "/" + string(p.To))
}

// ServerQuantity returns the quantity of a backend server's slots.
func ServerQuantity(b ident.BackendServer) ident.Quantity {
	return ident.Quantity(serverPrefix + string(b))
}

// Limits returns all limits of the configuration. No request runs for longer than maxRequest.
func Limits(s *config.Snapshot, maxRequest time.Duration) []Limit {
	var list []Limit
	for _, r := range s.Resources() {
		l, ok := limitOf(r)
		if !ok {
			continue
		}
		l.Created = ident.Revision(r.Created)
		if r.BackendServer != nil {
			service, _ := s.Service(ident.Service(r.BackendServer.Service))
			deadline := config.DeadlineOf(service.Service, maxRequest)
			l.ReuseDelay = deadline + deadline/reuseDivisor + reuseMargin
		}
		list = append(list, l)
	}
	return list
}

func limitOf(r wire.Resource) (Limit, bool) {
	switch {
	case r.Team != nil:
		return rateLimit(TeamQuantity(ident.Team(r.Name)), r.Team.Rate, r.Team.Burst, r.Team.Parts), true
	case r.Shift != nil && r.Shift.Cap > 0:
		return rateLimit(ShiftQuantity(ident.Shift(r.Name)), r.Shift.Cap, r.Shift.CapBurst, r.Shift.Parts), true
	case r.Region != nil && r.Region.Rate > 0:
		return rateLimit(RegionQuantity(ident.Region(r.Name)), r.Region.Rate, r.Region.Burst, r.Region.Parts), true
	case r.Link != nil:
		pair := config.RegionPair{From: ident.Region(r.Link.From), To: ident.Region(r.Link.To)}
		rate := r.Link.BytesPerSecond
		return rateLimit(LinkQuantity(pair), rate*(1-linkBurstSeconds), rate*linkBurstSeconds, r.Link.Parts), true
	case r.BackendServer != nil:
		l := Limit{Quantity: ServerQuantity(ident.BackendServer(r.Name)), Kind: KindConcurrency, Burst: int64(r.BackendServer.Slots), Parts: 1}
		l.HomePartition = r.BackendServer.Home
		return l, true
	}
	return Limit{}, false
}

// transitJitter is the largest difference between the times that two requests take from admission to their backend server.
// The rate over that time is subtracted from the burst, so that the limit also holds where the requests arrive.
const (
	transitJitter    = 20 * time.Millisecond
	maxJitterPercent = 10 // largest percentage of the burst that is subtracted
)

func rateLimit(q ident.Quantity, rate, burst float64, parts int) Limit {
	burst -= min(rate*transitJitter.Seconds(), burst*maxJitterPercent/100)
	return Limit{Quantity: q, Kind: KindRate, Rate: Micro(rate), Burst: Micro(burst), Parts: max(1, min(parts, seat.PartitionCount))}
}

// stride is the distance between the partitions of a limit. Neighboring partitions tend to have the same owner.
// It is a prime greater than any number of regions, so that all parts are on different partitions and in all regions.
const stride = 29

// PartitionsOf returns the partitions that the limit is divided among.
func PartitionsOf(l Limit) []int {
	if l.Parts == 1 && l.HomePartition > 0 {
		return []int{(l.HomePartition - 1) % seat.PartitionCount}
	}
	first := int(xxhash.Sum64String(string(l.Quantity)) % seat.PartitionCount)
	list := make([]int, l.Parts)
	for i := range list {
		list[i] = (first + i*stride) % seat.PartitionCount
	}
	return list
}
