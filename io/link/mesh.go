// Package link carries messages between hosts, over WebSocket with CBOR frames.
package link

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	dialTimeout  = 2 * time.Second
	redialDelay  = 500 * time.Millisecond
	helloTimeout = 2 * time.Second
)

// Seams are what a mesh needs from the rest of the process.
type Seams struct {
	// Hello returns what this host says of itself on a new link.
	Hello func() wire.Hello
	// Handle answers a frame from a peer; nil sends no answer.
	Handle func(ctx context.Context, peer wire.Hello, f wire.Frame) *wire.Frame
	// Opened is called when a link that this host dialled has opened.
	Opened func(peer wire.Hello)
	// Closed is called when a link that this host dialled has closed.
	Closed func(host ident.Host)
	// Client returns the client that dials; its transport holds the TLS settings.
	Client func() *http.Client
	// Scheme is "ws" or "wss".
	Scheme string
	// Secret is what hosts show each other, empty for none.
	Secret string
}

// Mesh keeps one dialled link to each peer and accepts the links that peers dial.
// A host calls over the link that it dialled and answers over the link that it accepted.
type Mesh struct {
	seams  Seams
	ctx    context.Context
	cancel context.CancelFunc
	bytes  atomic.Int64
	frames atomic.Int64

	mu       sync.Mutex
	peers    map[ident.Host]*peer
	accepted map[*conn]bool
	newest   map[ident.Host]int // highest incarnation seen
	cut      map[ident.Host]bool
}

type peer struct {
	address string
	stop    context.CancelFunc
	link    *conn
}

// New returns a mesh without links.
func New(seams Seams) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		seams: seams, ctx: ctx, cancel: cancel, peers: map[ident.Host]*peer{},
		accepted: map[*conn]bool{}, newest: map[ident.Host]int{}, cut: map[ident.Host]bool{},
	}
}

// Close ends all links.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.accepted {
		c.close()
	}
	for _, p := range m.peers {
		if p.link != nil {
			p.link.close()
		}
	}
}

// Sent returns the bytes and frames sent so far.
func (m *Mesh) Sent() (bytes, frames int64) { return m.bytes.Load(), m.frames.Load() }

// SetPeers links to these hosts, given with their addresses, and unlinks from all others.
func (m *Mesh) SetPeers(addresses map[ident.Host]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, p := range m.peers {
		if addresses[host] != p.address {
			p.stop()
			delete(m.peers, host)
		}
	}
	for host, address := range addresses {
		if m.peers[host] != nil {
			continue
		}
		ctx, stop := context.WithCancel(m.ctx)
		p := &peer{address: address, stop: stop}
		m.peers[host] = p
		go m.keepLinked(ctx, host, p)
	}
}

// SetCut drops all frames to and from the host, for failure tests.
func (m *Mesh) SetCut(host ident.Host, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut[host] = cut
}

func (m *Mesh) isCut(host ident.Host) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut[host]
}

// Linked returns the hosts that a dialled link is open to.
func (m *Mesh) Linked() []ident.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []ident.Host
	for host, p := range m.peers {
		if p.link != nil && !m.cut[host] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// keepLinked dials the peer again whenever the link is gone.
func (m *Mesh) keepLinked(ctx context.Context, host ident.Host, p *peer) {
	for ctx.Err() == nil {
		if c, err := m.dial(ctx, p.address); err == nil {
			m.runDialled(ctx, host, p, c)
		}
		select {
		case <-time.After(redialDelay):
		case <-ctx.Done():
		}
	}
}

func (m *Mesh) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	header := http.Header{}
	if m.seams.Secret != "" {
		header.Set("Authorization", "Bearer "+m.seams.Secret)
	}
	socket, response, err := websocket.Dial(ctx, m.seams.Scheme+"://"+address+"/v1/link",
		&websocket.DialOptions{HTTPClient: m.seams.Client(), HTTPHeader: header})
	if err != nil {
		return nil, err
	}
	if response != nil && response.Body != nil {
		_ = response.Body.Close()
	}
	c := newConn(socket, m.seams.Hello().Incarnation, &m.bytes)
	if err := m.greet(ctx, c); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// greet exchanges hellos, the first frame in both directions.
func (m *Mesh) greet(ctx context.Context, c *conn) error {
	hello := m.seams.Hello()
	if err := c.write(ctx, &wire.Frame{Hello: &hello}); err != nil {
		return err
	}
	f, err := c.read(ctx)
	if err != nil {
		return err
	}
	if f.Hello == nil {
		return ErrFrame
	}
	c.peer = *f.Hello
	return m.admit(c.peer)
}

// admit refuses incarnations older than one already seen from the host.
func (m *Mesh) admit(hello wire.Hello) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := ident.Host(hello.Host)
	if hello.Incarnation < m.newest[host] {
		return ErrClosed
	}
	m.newest[host] = hello.Incarnation
	return nil
}

func (m *Mesh) runDialled(ctx context.Context, host ident.Host, p *peer, c *conn) {
	if ident.Host(c.peer.Host) != host {
		c.close()
		return
	}
	m.mu.Lock()
	p.link = c
	m.mu.Unlock()
	go c.writeLoop(ctx)
	if m.seams.Opened != nil {
		go m.seams.Opened(c.peer)
	}
	c.readLoop(ctx, func(wire.Frame) {})
	m.mu.Lock()
	p.link = nil
	m.mu.Unlock()
	if m.seams.Closed != nil {
		m.seams.Closed(host)
	}
}

// ServeHTTP accepts a link from a peer.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.seams.Secret != "" && r.Header.Get("Authorization") != "Bearer "+m.seams.Secret {
		http.Error(w, "not a host of this fleet", http.StatusForbidden)
		return
	}
	socket, err := websocket.Accept(w, r, nil)
	if err != nil {
		return
	}
	c := newConn(socket, m.seams.Hello().Incarnation, &m.bytes)
	defer c.close()
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	err = m.greet(ctx, c)
	cancel()
	if err != nil {
		return
	}
	m.track(c, true)
	defer m.track(c, false)
	go c.writeLoop(m.ctx)
	c.readLoop(m.ctx, func(f wire.Frame) { m.serve(c, f) })
}

func (m *Mesh) track(c *conn, open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if open {
		m.accepted[c] = true
		return
	}
	delete(m.accepted, c)
}

// serve answers one frame; calls run side by side, other frames in the order sent.
func (m *Mesh) serve(c *conn, f wire.Frame) {
	if m.isCut(ident.Host(c.peer.Host)) {
		return
	}
	if f.Call == 0 {
		m.seams.Handle(m.ctx, c.peer, f)
		return
	}
	go func() {
		answer := m.seams.Handle(m.ctx, c.peer, f)
		if answer == nil {
			return
		}
		answer.Answer = true
		answer.Call = f.Call
		m.frames.Add(1)
		_ = c.cast(*answer)
	}()
}

func (m *Mesh) linkTo(host ident.Host) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || m.cut[host] {
		return nil
	}
	return p.link
}

// Call sends a frame to the host and returns its answer.
func (m *Mesh) Call(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error) {
	c := m.linkTo(host)
	if c == nil {
		return wire.Frame{}, ErrNoLink
	}
	m.frames.Add(1)
	answer, err := c.call(ctx, f)
	if err == nil && m.isCut(host) {
		return wire.Frame{}, ErrClosed
	}
	return answer, err
}

// Cast sends a frame to the host without an answer.
func (m *Mesh) Cast(host ident.Host, f wire.Frame) error {
	c := m.linkTo(host)
	if c == nil {
		return ErrNoLink
	}
	m.frames.Add(1)
	return c.cast(f)
}

// Broadcast sends a frame to every linked host and returns how many it was queued for.
func (m *Mesh) Broadcast(f wire.Frame) int {
	sent := 0
	for _, host := range m.Linked() {
		if m.Cast(host, f) == nil {
			sent++
		}
	}
	return sent
}

// Redial closes the link to the host, so that a new one is opened.
func (m *Mesh) Redial(host ident.Host) {
	if c := m.linkTo(host); c != nil {
		c.close()
	}
}
