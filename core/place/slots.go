package place

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/room"
)

const (
	slotsInterval = 250 * time.Millisecond // between two counts of the slots by region
	longPause     = time.Second            // pause from which a server's slots do not count; shorter ones end before shares change much
)

// updateSlots counts the slots of servers in use for the plan of the regions, at most once in slotsInterval. No pool may be locked.
func (b *Balancer) updateSlots(now time.Time) {
	at := b.slotsAt.Load()
	if !b.settings.PlanRegions || now.UnixNano() < at || !b.slotsAt.CompareAndSwap(at, now.Add(slotsInterval).UnixNano()) {
		return
	}
	b.mu.RLock()
	defer b.mu.RUnlock()
	slots := room.ByService{}
	for service, p := range b.pools {
		p.addSlots(now, service, slots)
	}
	b.regions.SetSlots(slots)
}

func (p *pool) addSlots(now time.Time, service ident.Service, slots room.ByService) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.servers {
		if s.Draining || s.misdirected || s.isCold(now) || s.pause >= longPause && now.Before(s.pausedUntil) {
			continue
		}
		slots.Add(s.Region, service, room.Slots(s.Slots))
	}
}

// recordDemand counts a request for the plan of the regions, with the expected time of its run. Attempts after the first are not counted.
func (b *Balancer) recordDemand(now time.Time, q Query, run time.Duration, where ident.Region) {
	if !b.settings.PlanRegions || len(q.Attempted) > 0 {
		return
	}
	r := room.Request{Service: q.Service, Run: run}
	if q.Restricted {
		r.Region = where
	}
	b.regions.RecordDemand(now, r)
}

// recordRefused counts a request that was refused, as a warm run. The pool must be locked.
func (b *Balancer) recordRefused(now time.Time, p *pool, q Query) {
	where := b.settings.Location.Region
	if q.Restricted && len(q.AllowedRegions) > 0 {
		where = q.AllowedRegions[0]
	}
	b.recordDemand(now, q, p.runTimeOf(q.Route).expected(true, q.LatencyTarget), where)
}
