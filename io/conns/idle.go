package conns

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/io/socket"
)

// takeIdle removes and returns the most recently used idle connection that is still usable for the request, or nil if there
// is none. It closes the unusable ones that it finds.
func (p *Pool) takeIdle(address string, r Request) *conn {
	for {
		c := p.popIdle(address, xxhash.Sum64String(r.ID))
		if c == nil {
			return nil
		}
		idle := time.Since(c.lastUsed)
		if idle < c.maxIdle && !(r.AvoidStale && idle > maxFreshIdleTime) && socket.IsQuiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection on which no request with the id was sent: an earlier
// answer to that one, written again, could not be told from the next.
func (p *Pool) popIdle(address string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !slices.Contains(c.served, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

func (p *Pool) putIdle(c *conn) {
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[c.address]) >= maxIdlePerServer || len(c.served) >= maxServed {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// CloseIdle closes idle connections that exceeded their maximum idle time and those to addresses no longer in use.
func (p *Pool) CloseIdle(now time.Time, inUse func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if inUse(address) && now.Sub(c.lastUsed) < c.maxIdle {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
}
