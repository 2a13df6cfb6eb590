// Package link exchanges CBOR frames between hosts over WebSocket connections.
package link

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coder/websocket"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/panics"
)

const (
	dialTimeout = 2 * time.Second
	redialDelay = 500 * time.Millisecond // after a link has closed; doubled after each dial that fails
	// maxRedialDelay bounds how long a peer that is reached again stays without a link.
	maxRedialDelay = 2 * time.Second
	helloTimeout   = 2 * time.Second
)

// Deps holds the dependencies of a Mesh.
type Deps struct {
	// Hello returns the Hello frame that this host sends on a new link.
	Hello func() wire.Hello
	// Handle handles a frame from a peer and returns the answer. A nil result sends no answer.
	Handle func(ctx context.Context, peer wire.Hello, f wire.Frame) *wire.Frame
	// OnOpen is called in a goroutine of its own when a link dialled by this host has opened. It may be nil.
	OnOpen func(peer wire.Hello)
	// OnClose is called when a link dialled by this host has closed. It may be nil.
	OnClose func(host ident.Host)
	// HTTPClient returns the client that dials a link. Its transport holds the TLS settings.
	HTTPClient func() *http.Client
	// Scheme is the URL scheme of the links, "ws" or "wss".
	Scheme string
	// Log gets a line for each frame that could not be handled.
	Log *slog.Logger
	// Secret is the bearer token that hosts use to authenticate to each other. If empty, links are not authenticated.
	Secret string
}

// Mesh dials and maintains one link to each peer and accepts the links that peers dial.
// A host sends calls over the links that it dialled and answers calls over the links that it accepted. Frames without an
// answer may be sent over both.
type Mesh struct {
	deps       Deps
	ctx        context.Context
	cancel     context.CancelFunc
	bytesSent  atomic.Int64
	framesSent atomic.Int64
	looking    sync.Once // starts closeSilent with the first link

	mu             sync.Mutex
	peers          map[ident.Host]*peer
	accepted       map[*conn]bool
	acceptedFrom   map[ident.Host]*conn // the latest accepted link of each host
	maxIncarnation map[ident.Host]int   // highest incarnation received in a Hello
	blocked        map[ident.Host]bool  // for failure tests
}

// peer is a host that this host dials.
type peer struct {
	address string
	cancel  context.CancelFunc
	conn    *conn // nil while no link is open
}

// New returns a Mesh without links.
func New(deps Deps) *Mesh {
	ctx, cancel := context.WithCancel(context.Background())
	return &Mesh{
		deps: deps, ctx: ctx, cancel: cancel, peers: map[ident.Host]*peer{},
		accepted: map[*conn]bool{}, acceptedFrom: map[ident.Host]*conn{}, maxIncarnation: map[ident.Host]int{}, blocked: map[ident.Host]bool{},
	}
}

// Close closes all links and stops dialling.
func (m *Mesh) Close() {
	m.cancel()
	m.mu.Lock()
	defer m.mu.Unlock()
	for c := range m.accepted {
		c.close()
	}
	for _, p := range m.peers {
		if p.conn != nil {
			p.conn.close()
		}
	}
}

// Sent returns the number of bytes and frames sent so far, without WebSocket overhead. A frame is counted before it is
// queued, even if the queue is full or the link is closed. The Hello frames of new links are not counted as frames.
func (m *Mesh) Sent() (bytes, frames int64) { return m.bytesSent.Load(), m.framesSent.Load() }

// SetPeers sets the hosts to dial, with their link addresses. It closes the dialled links to all other hosts,
// and dials a host again if its address has changed.
func (m *Mesh) SetPeers(addresses map[ident.Host]string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for host, p := range m.peers {
		if addresses[host] != p.address {
			p.cancel()
			delete(m.peers, host)
		}
	}
	for host, address := range addresses {
		if m.peers[host] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(m.ctx)
		p := &peer{address: address, cancel: cancel}
		m.peers[host] = p
		go m.dialLoop(ctx, host, p)
	}
}

// SetBlocked starts or stops dropping all frames to and from the host. It is for failure tests.
func (m *Mesh) SetBlocked(host ident.Host, blocked bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.blocked[host] = blocked
}

func (m *Mesh) isBlocked(host ident.Host) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.blocked[host]
}

// LinkedHosts returns the hosts to which a dialled link is open, without the blocked hosts.
func (m *Mesh) LinkedHosts() []ident.Host {
	m.mu.Lock()
	defer m.mu.Unlock()
	var hosts []ident.Host
	for host, p := range m.peers {
		if p.conn != nil && !m.blocked[host] {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// ServeHTTP accepts a link from a peer and returns when the link has closed. It answers 403 if the peer does not send
// the secret.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.deps.Secret != "" && r.Header.Get("Authorization") != "Bearer "+m.deps.Secret {
		http.Error(w, "not a host of this fleet", http.StatusForbidden)
		return
	}
	heard := newHeard()
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{OnPingReceived: heard.onPing})
	if err != nil {
		return
	}
	c := newConn(socket, heard, m.deps.Hello().Incarnation, &m.bytesSent)
	defer c.close()
	ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
	err = m.handshake(ctx, c)
	cancel()
	if err != nil {
		return
	}
	m.looking.Do(func() { go m.closeSilent() })
	m.setAccepted(c, true)
	defer m.setAccepted(c, false)
	go c.writeLoop(m.ctx)
	c.readLoop(m.ctx, func(f wire.Frame) { m.handleFrame(c, f) })
}

// setAccepted adds the accepted link when it opens, or removes it when it has closed.
func (m *Mesh) setAccepted(c *conn, open bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	host := ident.Host(c.peer.Host)
	if open {
		m.accepted[c] = true
		m.acceptedFrom[host] = c
		return
	}
	delete(m.accepted, c)
	if m.acceptedFrom[host] == c {
		delete(m.acceptedFrom, host)
	}
}

// handleFrame handles one frame of an accepted link. Each call is handled in its own goroutine. Other frames are
// handled one at a time, in the order in which they were sent.
func (m *Mesh) handleFrame(c *conn, f wire.Frame) {
	if m.isBlocked(ident.Host(c.peer.Host)) {
		return
	}
	if f.Call == 0 {
		m.handle(c, f)
		return
	}
	go func() {
		answer := m.handle(c, f)
		if answer == nil {
			return
		}
		answer.Answer = true
		answer.Call = f.Call
		m.framesSent.Add(1)
		_ = c.send(*answer)
	}()
}

// handle calls Deps.Handle. A panic closes the link that the frame came over.
func (m *Mesh) handle(c *conn, f wire.Frame) (answer *wire.Frame) {
	if err := panics.Catch(func() { answer = m.deps.Handle(m.ctx, c.peer, f) }); err != nil {
		m.deps.Log.Error("frame not handled", "peer", c.peer.Host, "error", err.Error())
		c.close()
		return nil
	}
	return answer
}

// connTo returns the dialled link to the host, or nil if none is open or the host is blocked.
func (m *Mesh) connTo(host ident.Host) *conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[host]
	if p == nil || m.blocked[host] {
		return nil
	}
	return p.conn
}

// Call sends a frame to the host and returns its answer. It returns ErrNoLink or ErrQueueFull if nothing was sent, an
// error that wraps ErrClosed if no answer arrived, or an error with the reason if the host answered with a fault.
func (m *Mesh) Call(ctx context.Context, host ident.Host, f wire.Frame) (wire.Frame, error) {
	c := m.connTo(host)
	if c == nil {
		return wire.Frame{}, ErrNoLink
	}
	m.framesSent.Add(1)
	answer, err := c.call(ctx, f)
	if err == nil && m.isBlocked(host) {
		return wire.Frame{}, ErrClosed
	}
	return answer, err
}

// Send queues a frame for the host without waiting for an answer. It returns ErrNoLink, ErrClosed or ErrQueueFull.
func (m *Mesh) Send(host ident.Host, f wire.Frame) error {
	c := m.connTo(host)
	if c == nil {
		return ErrNoLink
	}
	m.framesSent.Add(1)
	return c.send(f)
}

// Reply queues a frame for the host over a link that the host has dialled, without waiting for an answer. It returns
// ErrNoLink, ErrClosed or ErrQueueFull.
func (m *Mesh) Reply(host ident.Host, f wire.Frame) error {
	m.mu.Lock()
	c := m.acceptedFrom[host]
	if m.blocked[host] {
		c = nil
	}
	m.mu.Unlock()
	if c == nil {
		return ErrNoLink
	}
	m.framesSent.Add(1)
	return c.send(f)
}

// Broadcast queues a frame for every host with an open link and returns the number of hosts it was queued for.
func (m *Mesh) Broadcast(f wire.Frame) int {
	sent := 0
	for _, host := range m.LinkedHosts() {
		if m.Send(host, f) == nil {
			sent++
		}
	}
	return sent
}

// Redial closes the dialled link to the host, so that dialLoop opens a new one.
func (m *Mesh) Redial(host ident.Host) {
	if c := m.connTo(host); c != nil {
		c.close()
	}
}
