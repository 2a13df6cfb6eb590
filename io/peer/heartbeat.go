package peer

import (
	"context"
	"hash/crc32"
	"reflect"
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	fullInterval      = 8 // heartbeats; of these, a relay passes on at least one in full
)

// sendHeartbeat refreshes the list of peers and sends a heartbeat to all of them.
func (p *Peers) sendHeartbeat(context.Context) {
	now := time.Now()
	p.Refresh(now)
	heartbeat := p.deps.Heartbeat()
	p.mu.Lock()
	p.sequence++
	heartbeat.Sequence = p.sequence
	p.mu.Unlock()
	p.broadcast(now, wire.Relayed{EdgeHeartbeat: &heartbeat, Evidence: p.deps.Evidence()})
}

// Broadcast sends a fault or a strike to all hosts, and returns the number of hosts that it was sent to directly.
func (p *Peers) Broadcast(f wire.Frame) int {
	return p.broadcast(time.Now(), wire.Relayed{Trip: f.Trip, Strike: f.Strike})
}

// Receive handles a frame of another host that is meant for all hosts. Other frames are ignored.
func (p *Peers) Receive(now time.Time, from wire.Hello, f wire.Frame) {
	switch {
	case f.Uplink != nil:
		p.receiveUplink(now, from, *f.Uplink)
	case f.Handover != nil:
		p.receiveHandover(now, ident.Host(from.Host), *f.Handover)
	case f.RelayBatch != nil:
		p.receiveBatch(now, from, *f.RelayBatch)
	case f.EdgeHeartbeat != nil || f.Trip != nil || f.Strike != nil:
		e := wire.Relayed{
			Host: from.Host, Incarnation: from.Incarnation, EdgeHeartbeat: f.EdgeHeartbeat, Evidence: f.Evidence,
			Trip: f.Trip, Strike: f.Strike,
		}
		p.mu.Lock()
		p.uplink.heard(ident.Host(from.Host), now)
		known := p.knownHeartbeat(e)
		paused := p.pausedSince(now)
		p.mu.Unlock()
		if p.deliver(now, from, e) && !paused {
			p.queueDown(now, from, e, known)
		}
	}
}

// deliver handles what another host has sent to all hosts. It returns false, and does nothing, if that is outdated. While
// this host reads what has queued up during a pause, heartbeats do not show that their hosts are alive.
func (p *Peers) deliver(now time.Time, from wire.Hello, e wire.Relayed) bool {
	p.mu.Lock()
	if p.pausedSince(now) {
		e.EdgeHeartbeat = nil
	}
	p.mu.Unlock()
	if e.EdgeHeartbeat != nil && !p.recordHeartbeat(now, from, *e.EdgeHeartbeat) {
		return false
	}
	if len(e.Evidence) > 0 || e.Trip != nil || e.Strike != nil {
		p.deps.OnMessage(e)
	}
	return true
}

// recordHeartbeat updates a peer from a heartbeat. It returns false if a later one of the peer is known: a relay that was
// paused or has lost a link may pass on old ones.
func (p *Peers) recordHeartbeat(now time.Time, from wire.Hello, h wire.EdgeHeartbeat) bool {
	host := ident.Host(from.Host)
	p.mu.Lock()
	peer := p.getOrAdd(now, host)
	if peer.isLater(now, from.Incarnation, h.Sequence) {
		p.mu.Unlock()
		return false
	}
	peer.Zone, peer.Region = ident.AvailabilityZone(from.AvailabilityZone), ident.Region(from.Region)
	peer.CallerAddress, peer.LinkAddress = from.CallerAddress, from.LinkAddress
	peer.left = peer.left && peer.incarnation == from.Incarnation
	peer.Heartbeat, peer.HeartbeatAt, peer.incarnation = h, now, from.Incarnation
	p.mu.Unlock()
	switch {
	case h.Leaving || h.Fresh == nil || !*h.Fresh:
	case h.CopyAgeMs != nil && *h.CopyAgeMs >= 0:
		p.deps.OnCopyAge(time.Duration(*h.CopyAgeMs) * time.Millisecond)
	default:
		p.deps.OnFreshPeer()
	}
	p.deps.OnHeartbeat(host, h)
	return true
}

// isLater reports whether the peer's last heartbeat is later than, or the same as, one with the incarnation and sequence.
// The heartbeats of an incarnation are numbered from 1. An earlier incarnation counts only while a later one is heard,
// since the clock that incarnations are taken from may have been set back.
func (p *Peer) isLater(now time.Time, incarnation, sequence int) bool {
	if incarnation == p.incarnation {
		return sequence > 0 && sequence <= p.Heartbeat.Sequence
	}
	return incarnation < p.incarnation && p.Fresh(now)
}

// recordAlive records that a peer's heartbeat has arrived unchanged.
func (p *Peers) recordAlive(now time.Time, id int) {
	p.mu.Lock()
	host := p.hostsByID[id]
	peer := p.peers[host]
	known := peer != nil && !peer.HeartbeatAt.IsZero()
	fresh := false
	if known {
		peer.HeartbeatAt = now
		fresh = peer.hasFreshCopy() && !peer.Heartbeat.Leaving
	}
	p.mu.Unlock()
	if fresh {
		p.deps.OnFreshPeer()
	}
	if known {
		p.deps.OnAlive(host)
	}
}

// knownHeartbeat returns the last heartbeat of the entry's host, or nil if none of the same incarnation is known. The
// caller must hold p.mu.
func (p *Peers) knownHeartbeat(e wire.Relayed) *wire.EdgeHeartbeat {
	peer := p.peers[ident.Host(e.Host)]
	if peer == nil || peer.HeartbeatAt.IsZero() || peer.incarnation != e.Incarnation {
		return nil
	}
	h := peer.Heartbeat
	return &h
}

// isUnchanged reports whether an entry holds nothing but a heartbeat that differs from the known one in its sequence, its
// revision, the pace of servers and the usual regions of its requests only. Now and then a heartbeat counts as changed, so that one that was lost on the way is made up for.
func isUnchanged(e wire.Relayed, known *wire.EdgeHeartbeat) bool {
	h := e.EdgeHeartbeat
	if known == nil || h == nil || len(e.Evidence) > 0 || len(h.Old) > 0 || (h.Sequence+hostID(ident.Host(e.Host)))%fullInterval == 0 {
		return false
	}
	before := *known
	before.Sequence, before.Revision, before.Paces = h.Sequence, h.Revision, h.Paces
	if !displaces(before.Regions) && !displaces(h.Regions) {
		before.Regions = h.Regions
	}
	return reflect.DeepEqual(before, *h)
}

// displaces reports whether requests have lately left a region that has no usable server for them, which peers are to know at
// once.
func displaces(r *wire.RegionReport) bool {
	return r != nil && slices.ContainsFunc(r.Parts, func(p wire.RegionPart) bool { return p.Displaced != 0 })
}

// hostID returns the short id of a host in relayed batches.
func hostID(host ident.Host) int { return int(crc32.ChecksumIEEE([]byte(host))) }
