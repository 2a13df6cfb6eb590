package place

import (
	"slices"
	"time"
)

// ShortestLatency returns the shortest expected time from sending the request until its response, at any server that may run
// it as soon as that has room. It returns false if there is no such server.
func (b *Balancer) ShortestLatency(now time.Time, q Query) (time.Duration, bool) {
	p := b.pool(q.Service)
	if p == nil {
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	assigned := p.assignedServers(now, q, &b.settings)
	rt := p.runTimeOf(q.Route)
	shortest, found := time.Duration(0), false
	for _, srv := range p.servers {
		if !srv.eligible(q) || now.Before(srv.pausedUntil) || slices.Contains(q.Attempted, srv.ID) {
			continue
		}
		c := p.estimate(now, q, &b.settings, srv, rt, assigned)
		if latency := c.latency - c.wait; !found || latency < shortest {
			shortest, found = latency, true
		}
	}
	return shortest, found
}
