package trial

import (
	"sync"

	"jayshift/core/ident"
)

// Gate lets a share of a service's requests through to the new version. It counts, so that no run of luck
// sends more than the share: over the hosts together the share holds because it holds at each of them.
type Gate struct {
	mu       sync.Mutex
	services map[ident.Service]*counter
}

type counter struct {
	version  ident.Version
	share    float64
	requests float64
	passed   float64
}

// NewGate returns a gate that lets nothing through.
func NewGate() *Gate { return &Gate{services: map[ident.Service]*counter{}} }

// Set states the share of a version; the count starts anew when it changes.
func (g *Gate) Set(service ident.Service, version ident.Version, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.services[service]
	if c != nil && c.version == version && c.share == share {
		return
	}
	g.services[service] = &counter{version: version, share: share}
}

// Close lets nothing through any more.
func (g *Gate) Close(service ident.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.services, service)
}

// Pass tells whether the next request of the service goes to the new version, and counts it.
func (g *Gate) Pass(service ident.Service) (ident.Version, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.services[service]
	if c == nil || c.share <= 0 {
		return "", false
	}
	c.requests++
	if c.passed+1 > c.share*c.requests+1e-9 {
		return "", false
	}
	c.passed++
	return c.version, true
}
