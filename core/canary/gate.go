package canary

import (
	"sync"

	"jayshift/core/ident"
)

// Gate sends a share of each service's requests to its new version. It counts the requests instead of drawing random
// numbers, so that the new version never gets more than its share by chance. The share holds over all hosts together
// because it holds at each of them.
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

// NewGate returns a gate that sends no requests to new versions.
func NewGate() *Gate { return &Gate{services: map[ident.Service]*counter{}} }

// Set sets the new version of a service and its share of the requests, from 0 to 1. A change resets the request count.
func (g *Gate) Set(service ident.Service, version ident.Version, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.services[service]
	if c != nil && c.version == version && c.share == share {
		return
	}
	g.services[service] = &counter{version: version, share: share}
}

// Close stops sending requests of the service to its new version.
func (g *Gate) Close(service ident.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.services, service)
}

// Pass counts a request of the service and reports whether it goes to the new version, which it then returns.
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
