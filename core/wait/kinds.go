package wait

import (
	"maps"
	"slices"
	"time"
)

const (
	useWindow = 5 * time.Second // time after its last request for which a kind uses the service
	maxKinds  = 8               // kinds that are compared; further ones get the room of the least urgent of these
	// The adaptive part of the room changes by reserveGain for a difference of 1 between the served parts of two kinds, in requests
	// per slot and second.
	reserveGain = 1.5
	// reserveMargin is the difference between the served parts of two kinds that counts as none, in favor of the urgent one.
	reserveMargin = 0.2
	// Room is scarce if more than scarcePart of the requests are refused. Requests that are late alone are no reason to keep room: with
	// less choice of servers, more runs are cold.
	scarcePart = 0.05
	// reserveDecay is the time constant with which the adaptive part ends while room is not scarce.
	reserveDecay = 2 * time.Second
	// A kind starves if it is served less than starvingPart of the mean of all. The bound on any kind is a quarter of the mean.
	starvingPart = 0.35
	// priorWeight is the number of requests with the mean result by which the served part of each kind is smoothed. A host may get
	// less than one request of a kind in a second.
	priorWeight  = 2.0
	maxAdaptStep = time.Second // longest time that one adaptation counts
)

// kinds compares how the requests of each priority fare, and sets the room that each leaves to more urgent ones.
type kinds struct {
	step      float64 // room that a kind leaves for each more urgent kind, in requests per slot
	limit     float64 // maximum room that a kind leaves
	byRank    map[int]*kind
	adaptedAt time.Time
}

type kind struct {
	share
	adaptive float64 // room that it leaves besides the fixed part, in requests per slot
}

func newKinds(step, limit float64) kinds {
	return kinds{step: step, limit: limit, byRank: map[int]*kind{}}
}

// of returns the kind of the priority.
func (k *kinds) of(priority int) *kind {
	found := k.byRank[priority]
	if found == nil && len(k.byRank) < maxKinds {
		found = &kind{}
		k.byRank[priority] = found
	}
	if found == nil {
		found = k.byRank[slices.Max(slices.Collect(maps.Keys(k.byRank)))]
	}
	return found
}

func (k *kinds) used(now time.Time, priority int) bool {
	found := k.byRank[priority]
	return found != nil && now.Sub(found.seenAt) < useWindow
}

// inUse returns the priorities that use the service, the most urgent first.
func (k *kinds) inUse(now time.Time) []int {
	var list []int
	for priority := range k.byRank {
		if k.used(now, priority) {
			list = append(list, priority)
		}
	}
	slices.Sort(list)
	return list
}

// reserve returns the room that a request of the priority leaves to more urgent ones, in requests per slot.
func (k *kinds) reserve(now time.Time, priority int) float64 {
	ahead := 0
	for other := range k.byRank {
		if other < priority && k.used(now, other) {
			ahead++
		}
	}
	if ahead == 0 {
		return 0
	}
	return min(max(0, k.step*float64(ahead)+k.of(priority).adaptive), k.limit)
}

// adapt changes the adaptive parts by how the kinds have fared.
func (k *kinds) adapt(now time.Time) {
	elapsed := min(now.Sub(k.adaptedAt), maxAdaptStep)
	if elapsed <= 0 {
		return
	}
	k.adaptedAt = now
	used := k.inUse(now)
	for _, priority := range used {
		k.byRank[priority].decay(now)
	}
	mean := k.mean(used)
	sum := k.sum(used)
	scarce := sum.refused > scarcePart*sum.ended()
	least := 1.0 // served part of the more urgent kind that fares worst
	for ahead, priority := range used {
		this := k.byRank[priority]
		if ahead > 0 {
			this.adaptive += k.change(this, scarce, least, mean, elapsed)
			fixed := k.step * float64(ahead)
			this.adaptive = min(max(this.adaptive, -fixed), k.limit-fixed)
		}
		least = min(least, this.part(mean))
	}
}

func (k *kinds) change(this *kind, scarce bool, least, mean float64, elapsed time.Duration) float64 {
	seconds := elapsed.Seconds()
	switch {
	case !scarce:
		return -this.adaptive * min(1, float64(elapsed)/float64(reserveDecay))
	case this.part(mean) < starvingPart*mean:
		return -reserveGain * seconds
	default:
		return reserveGain * seconds * (this.part(mean) - least + reserveMargin)
	}
}

// sum returns the counts of all kinds together.
func (k *kinds) sum(used []int) share {
	var sum share
	for _, priority := range used {
		sum.served += k.byRank[priority].served
		sum.late += k.byRank[priority].late
		sum.refused += k.byRank[priority].refused
	}
	return sum
}

// mean returns the part of all requests that were served, 1 if there were too few to tell.
func (k *kinds) mean(used []int) float64 {
	sum := k.sum(used)
	if sum.ended() < minEnded {
		return 1
	}
	return sum.served / sum.ended()
}

// part returns the part of the kind's requests that were served, smoothed by the mean of all kinds.
func (k *kind) part(mean float64) float64 {
	return (k.served + priorWeight*mean) / (k.ended() + priorWeight)
}

// starving returns the priorities that are served far less than the others.
func (k *kinds) starving(now time.Time) map[int]bool {
	used := k.inUse(now)
	mean := k.mean(used)
	found := map[int]bool{}
	for _, priority := range used {
		if k.byRank[priority].part(mean) < starvingPart*mean {
			found[priority] = true
		}
	}
	return found
}
