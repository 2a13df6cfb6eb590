package member

import (
	"context"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/pulse"
)

const beatTimeout = 1500 * time.Millisecond

// beatLoop sends heartbeats over every link.
func (m *Member) beatLoop(ctx context.Context) {
	pulse.Every(ctx, m.beat, func() { m.Beat(ctx) })
}

// Beat sends one heartbeat to every linked host at once.
func (m *Member) Beat(ctx context.Context) {
	for _, host := range m.seams.Mesh.Linked() {
		go m.beatOne(ctx, host)
	}
}

func (m *Member) beatOne(ctx context.Context, host ident.Host) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	lease := m.lease.Load()
	sent := time.Now()
	answer, err := m.seams.Mesh.Call(ctx, host, wire.Frame{Heartbeat: m.heartbeat()})
	if ctx.Err() != nil {
		m.seams.Log.Warn("link silent", "peer", string(host))
		m.seams.Mesh.Redial(host)
		return
	}
	if err != nil || answer.HeartbeatAck == nil {
		return
	}
	lease.RecordAck(host, ident.Incarnation(answer.HeartbeatAck.Incarnation), sent)
}

func (m *Member) heartbeat() *wire.Heartbeat {
	inFlight, headroom, draining := m.seams.Load()
	return &wire.Heartbeat{
		Revision: int(m.seams.Revision()), Generation: m.Table().Generation,
		InFlight: inFlight, Headroom: headroom, Draining: draining,
	}
}

// Heard takes in a peer's heartbeat and returns the acknowledgement, or a fault when the peer may not be acknowledged.
func (m *Member) Heard(peer wire.Hello, h *wire.Heartbeat) *wire.Frame {
	host := ident.Host(peer.Host)
	m.mu.Lock()
	m.peers[host] = Peer{
		Revision: ident.Revision(h.Revision), InFlight: h.InFlight, Headroom: h.Headroom,
		Draining: h.Draining, Heard: time.Now(),
	}
	own := m.hello.Incarnation
	m.mu.Unlock()
	if ident.Revision(h.Revision) > m.seams.Revision() {
		go m.seams.Pull(host)
	}
	if !m.lease.Load().MayAck(host, ident.Incarnation(peer.Incarnation)) {
		return &wire.Frame{Fault: &wire.LinkFault{Reason: "no such seat"}}
	}
	return &wire.Frame{HeartbeatAck: &wire.HeartbeatAck{Incarnation: own}}
}
