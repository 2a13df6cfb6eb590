package link

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/coder/websocket"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// dialLoop dials the peer and uses the link until it closes. It repeats this after redialDelay, or longer after dials that
// failed, until the context ends.
func (m *Mesh) dialLoop(ctx context.Context, host ident.Host, p *peer) {
	delay := redialDelay
	for ctx.Err() == nil {
		if c, err := m.dial(ctx, p.address); err == nil {
			delay = redialDelay
			m.runDialled(ctx, host, p, c)
		} else {
			delay = min(2*delay, maxRedialDelay)
		}
		select {
		case <-time.After(delay/2 + rand.N(delay/2)):
		case <-ctx.Done():
		}
	}
}

// dial opens a link to the address, including the handshake, within dialTimeout.
func (m *Mesh) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	if m.deps.Secret != "" {
		header.Set("Authorization", "Bearer "+m.deps.Secret)
	}
	heard := newHeard()
	socket, response, err := websocket.Dial(ctx, m.deps.Scheme+"://"+address+"/v1/link",
		&websocket.DialOptions{HTTPClient: m.deps.HTTPClient(), HTTPHeader: header, OnPingReceived: heard.onPing})
	if err != nil {
		return nil, err
	}
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	c := newConn(socket, heard, m.deps.Hello().Incarnation, &m.bytesSent)
	if err := m.handshake(ctx, c); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// handshake exchanges Hello frames, which are the first frame in each direction of a link.
func (m *Mesh) handshake(ctx context.Context, c *conn) error {
	hello := m.deps.Hello()
	if err := c.write(ctx, &wire.Frame{Hello: &hello}); err != nil {
		return err
	}
	f, err := c.read(ctx)
	if err != nil {
		return err
	}
	if f.Hello == nil {
		return ErrMalformedFrame
	}
	c.peer = *f.Hello
	return m.checkIncarnation(c.peer)
}

// checkIncarnation records the incarnation of a peer. It returns ErrClosed if the host has already sent a later one,
// since the peer is then an earlier process of that host.
func (m *Mesh) checkIncarnation(hello wire.Hello) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := ident.Host(hello.Host)
	if hello.Incarnation < m.maxIncarnation[host] {
		return ErrClosed
	}
	m.maxIncarnation[host] = hello.Incarnation
	return nil
}

// runDialled uses a dialled link until it closes. It closes the link at once if another host than the expected one
// answered at the address.
func (m *Mesh) runDialled(ctx context.Context, host ident.Host, p *peer, c *conn) {
	if ident.Host(c.peer.Host) != host {
		c.close()
		return
	}
	m.looking.Do(func() { go m.closeSilent() })
	m.mu.Lock()
	p.conn = c
	m.mu.Unlock()
	go c.writeLoop(ctx)
	if m.deps.OnOpen != nil {
		go m.deps.OnOpen(c.peer)
	}
	c.readLoop(ctx, func(f wire.Frame) { m.handleFrame(c, f) })
	m.mu.Lock()
	p.conn = nil
	m.mu.Unlock()
	if m.deps.OnClose != nil {
		m.deps.OnClose(host)
	}
}
