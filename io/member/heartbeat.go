package member

import (
	"context"
	"time"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/wire"
	"jayshift/io/ticker"
)

// heartbeatTimeout is how long a host waits for the acknowledgement of a heartbeat before it redials the link.
const heartbeatTimeout = 1500 * time.Millisecond

// heartbeatLoop sends heartbeats to all linked hosts at each heartbeat interval until ctx ends.
func (m *Member) heartbeatLoop(ctx context.Context) {
	ticker.Every(ctx, m.heartbeatInterval, func() { m.SendHeartbeats(ctx) })
}

// SendHeartbeats sends one heartbeat to every linked host, to all of them concurrently. It does not wait for
// acknowledgements.
func (m *Member) SendHeartbeats(ctx context.Context) {
	for _, host := range m.deps.Mesh.LinkedHosts() {
		go m.sendHeartbeat(ctx, host)
	}
}

// sendHeartbeat sends a heartbeat to the host and records its acknowledgement in the lease that was current when the
// heartbeat was sent. It redials the link when no answer arrives within heartbeatTimeout.
func (m *Member) sendHeartbeat(ctx context.Context, host ident.Host) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	lease := m.lease.Load()
	sent := time.Now()
	reply, err := m.deps.Mesh.Call(ctx, host, wire.Frame{Heartbeat: m.newHeartbeat()})
	if ctx.Err() != nil {
		m.deps.Log.Warn("link silent", "peer", string(host))
		m.deps.Mesh.Redial(host)
		return
	}
	if err != nil || reply.HeartbeatAck == nil {
		return
	}
	lease.RecordAck(host, ident.Incarnation(reply.HeartbeatAck.Incarnation), sent)
}

func (m *Member) newHeartbeat() *wire.Heartbeat {
	inFlight, headroom, draining := m.deps.Load()
	return &wire.Heartbeat{
		Revision: int(m.deps.ConfigRevision()), Generation: m.Table().Generation,
		InFlight: inFlight, Headroom: headroom, Draining: draining, Limits: limit.Encode(m.deps.LimitReports(time.Now())),
	}
}

// HandleHeartbeat records a peer's heartbeat and returns the acknowledgement, or a fault if this host has no seat or the
// seat table has no unmarked seat for this incarnation of the peer. It pulls the peer's configuration if that is newer.
func (m *Member) HandleHeartbeat(peer wire.Hello, h *wire.Heartbeat) *wire.Frame {
	host := ident.Host(peer.Host)
	m.mu.Lock()
	m.peers[host] = Peer{
		Revision: ident.Revision(h.Revision), InFlight: h.InFlight, Headroom: h.Headroom,
		Draining: h.Draining, LastHeartbeat: time.Now(),
	}
	incarnation := m.hello.Incarnation
	m.mu.Unlock()
	m.deps.OnLimitReports(host, limit.Decode(h.Limits))
	if ident.Revision(h.Revision) > m.deps.ConfigRevision() {
		go m.deps.PullConfig(host)
	}
	if !m.lease.Load().MayAck(host, ident.Incarnation(peer.Incarnation)) {
		return &wire.Frame{Fault: &wire.LinkFault{Reason: "no such seat"}}
	}
	return &wire.Frame{HeartbeatAck: &wire.HeartbeatAck{Incarnation: incarnation}}
}
