package link

import (
	"context"
	"sync/atomic"
	"time"

	"jayshift/io/ticker"
)

const (
	silenceTimeout  = 2 * time.Second        // without anything from the peer, after which a link is closed
	pingDelay       = 700 * time.Millisecond // without anything from the peer, after which it is pinged
	silenceInterval = 250 * time.Millisecond // between looks at the links
	// maxLookGap is the time between two looks from which this process must have been paused, so that it has not read yet what
	// the peers have sent meanwhile.
	maxLookGap = 1 * time.Second
)

// heard is when something last arrived over a link. It is safe for concurrent use.
type heard struct{ at atomic.Pointer[time.Time] }

func newHeard() *heard {
	h := &heard{}
	h.record()
	return h
}

func (h *heard) record() {
	now := time.Now()
	h.at.Store(&now)
}

// onPing records a ping of the peer. It returns true, so that the ping is answered.
func (h *heard) onPing(context.Context, []byte) bool {
	h.record()
	return true
}

// closeSilent closes links over which nothing has come for silenceTimeout, until the mesh is closed. A link may fall silent for
// good without a reset; dialLoop then opens a new one.
func (m *Mesh) closeSilent() {
	lookedAt := time.Now()
	ticker.Every(m.ctx, silenceInterval, func() {
		now := time.Now()
		paused := now.Sub(lookedAt) > maxLookGap
		lookedAt = now
		for _, c := range m.openConns() {
			if paused {
				c.heard.record()
			}
			m.checkSilence(c, now)
		}
	})
}

// checkSilence pings the peer of a link that has been silent for pingDelay, or closes the link after silenceTimeout.
func (m *Mesh) checkSilence(c *conn, now time.Time) {
	silence := now.Sub(*c.heard.at.Load())
	switch {
	case silence > silenceTimeout:
		m.deps.Log.Warn("link silent, closing it", "peer", c.peer.Host)
		c.close()
	case silence > pingDelay && c.pinging.CompareAndSwap(false, true):
		go c.ping(m.ctx)
	}
}

// ping asks the peer for a sign, and waits for it up to silenceTimeout.
func (c *conn) ping(ctx context.Context) {
	defer c.pinging.Store(false)
	ctx, cancel := context.WithTimeout(ctx, silenceTimeout)
	defer cancel()
	if c.socket.Ping(ctx) == nil {
		c.heard.record()
	}
}

// openConns returns all open links, those that this host dialled and those that it accepted.
func (m *Mesh) openConns() []*conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]*conn, 0, len(m.accepted)+len(m.peers))
	for c := range m.accepted {
		list = append(list, c)
	}
	for _, p := range m.peers {
		if p.conn != nil {
			list = append(list, p.conn)
		}
	}
	return list
}
