package peer

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	flushInterval = 200 * time.Millisecond // between the batches that a relay sends
	// maxFlushGap is the time between two batches from which this process must have been paused. What it was sent in the
	// meantime may be outdated and is dropped.
	maxFlushGap   = 1 * time.Second
	resumeQuiet   = 300 * time.Millisecond  // after a pause, in which what has queued up at this host is read and dropped
	attachTimeout = 1300 * time.Millisecond // without an entry, after which a host sends through another relay
	maxPending    = 4096                    // entries of a batch; more are dropped
)

// relayed is what this host passes on as a relay.
type relayed struct {
	flushedAt  time.Time
	quietUntil time.Time                 // heartbeats that arrive until then may be outdated
	attached   map[ident.Host]time.Time  // the hosts that send through this one, with the time of their last entry
	relays     map[ident.Host]relayState // the relays that have sent batches to this host
	up         wire.RelayBatch           // for the other relays
	down       wire.RelayBatch           // for the attached hosts
	outcomes   outcomes
}

func newRelayed() relayed {
	return relayed{attached: map[ident.Host]time.Time{}, relays: map[ident.Host]relayState{}, outcomes: newOutcomes()}
}

// relayState is what this host knows of a relay that sends it batches.
type relayState struct {
	heardAt    time.Time // when its last batch arrived
	quietUntil time.Time // batches that arrive until then may be outdated
}

// isOutdated records a batch of a relay, and reports whether the batch may be outdated: the relay was silent before, so it
// may have been paused after it had made the batch.
func (r *relayed) isOutdated(relay ident.Host, now time.Time) bool {
	state, known := r.relays[relay]
	if known && now.Sub(state.heardAt) > maxFlushGap {
		state.quietUntil = now.Add(resumeQuiet)
	}
	state.heardAt = now
	r.relays[relay] = state
	return now.Before(state.quietUntil)
}

// add adds an entry to a batch, or only the host's id if its heartbeat has not changed.
func add(b *wire.RelayBatch, e wire.Relayed, unchanged bool) {
	switch {
	case !hasContent(e) || len(b.Entries)+len(b.Alive) >= maxPending:
	case unchanged:
		b.Alive = append(b.Alive, hostID(ident.Host(e.Host)))
	default:
		b.Entries = append(b.Entries, e)
	}
}

// hasContent reports whether an entry holds anything but outcomes.
func hasContent(e wire.Relayed) bool {
	return e.EdgeHeartbeat != nil || e.Trip != nil || e.Strike != nil
}

// receiveUplink handles an entry of a host that sends through this one, and passes it on to the other relays and to the
// other hosts that send through this one.
func (p *Peers) receiveUplink(now time.Time, from wire.Hello, e wire.Relayed) {
	host := ident.Host(from.Host)
	e.Host, e.Incarnation = from.Host, from.Incarnation
	p.mu.Lock()
	_, attached := p.relayed.attached[host]
	p.relayed.attached[host] = now
	paused := p.pausedSince(now)
	known := p.knownHeartbeat(e)
	p.mu.Unlock()
	if !attached || known == nil { // also if it has started again at once
		_ = p.deps.Reply(host, wire.Frame{RelayBatch: &wire.RelayBatch{Entries: p.snapshot(now, nil), Alive: []int{}}})
		p.handOver(p.deps.Reply, host)
	}
	if !p.deliver(now, from, e) || paused {
		return
	}
	e.Hello = p.helloIfUnknown(from)
	p.mu.Lock()
	p.relayed.outcomes.addAttached(host, e.Evidence)
	e.Evidence = nil
	unchanged := isUnchanged(e, known)
	add(&p.relayed.up, e, unchanged)
	add(&p.relayed.down, e, unchanged)
	p.mu.Unlock()
	if isUrgent(e) {
		p.flush(now)
	}
}

// pausedSince reports whether this process was paused a moment ago, so that heartbeats that it reads may be outdated. The
// caller must hold p.mu.
func (p *Peers) pausedSince(now time.Time) bool {
	return now.Before(p.relayed.quietUntil) || p.missedFlush(now)
}

// missedFlush reports whether this process has not sent its batches for so long that it must have been paused. The caller
// must hold p.mu.
func (p *Peers) missedFlush(now time.Time) bool {
	return !p.relayed.flushedAt.IsZero() && now.Sub(p.relayed.flushedAt) > maxFlushGap
}

// isUrgent reports whether an entry is passed on without waiting for the next batch.
func isUrgent(e wire.Relayed) bool {
	return e.Trip != nil || e.Strike != nil || e.EdgeHeartbeat != nil && e.EdgeHeartbeat.Leaving
}

// helloIfUnknown returns the Hello of a host if other hosts may not know the host from the store, otherwise nil.
func (p *Peers) helloIfUnknown(from wire.Hello) *wire.Hello {
	if entry, ok := p.deps.LeaseHolders()[ident.Host(from.Host)]; ok && entry.LinkAddress == from.LinkAddress {
		return nil
	}
	return &from
}

// receiveBatch handles a batch of a relay, and passes it on to the hosts that send through this one if the relay asks for
// that.
func (p *Peers) receiveBatch(now time.Time, from wire.Hello, b wire.RelayBatch) {
	p.mu.Lock()
	paused := p.pausedSince(now)
	p.uplink.heard(ident.Host(from.Host), now)
	outdated := p.relayed.isOutdated(ident.Host(from.Host), now)
	p.mu.Unlock()
	entries, urgent := b.Entries[:0:0], false
	var reported []wire.Evidence
	for _, e := range b.Entries {
		if outdated {
			e.EdgeHeartbeat = nil
		}
		urgent = urgent || isUrgent(e)
		hello, ok := p.helloOf(e)
		if !ok || !p.deliver(now, hello, e) {
			continue
		}
		reported = append(reported, e.Evidence...)
		e.Evidence = nil
		if hasContent(e) {
			entries = append(entries, e)
		}
	}
	if paused || outdated {
		return
	}
	for _, id := range b.Alive {
		p.recordAlive(now, id)
	}
	if !b.Forward {
		return
	}
	p.mu.Lock()
	if len(p.relayed.attached) > 0 && len(p.relayed.down.Entries)+len(p.relayed.down.Alive) < maxPending {
		p.relayed.down.Entries = append(p.relayed.down.Entries, entries...)
		p.relayed.down.Alive = append(p.relayed.down.Alive, b.Alive...)
		p.relayed.outcomes.down.Add(reported)
	}
	p.mu.Unlock()
	if urgent {
		p.flush(now)
	}
}

// helloOf returns the Hello of the host that an entry comes from: the one that the entry carries, or what is known of the
// host. It returns false for this host and for a host that is not known.
func (p *Peers) helloOf(e wire.Relayed) (wire.Hello, bool) {
	if ident.Host(e.Host) == p.deps.Host {
		return wire.Hello{}, false
	}
	if e.Hello != nil {
		return *e.Hello, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[ident.Host(e.Host)]
	if peer == nil || peer.LinkAddress == "" {
		return wire.Hello{}, false
	}
	return wire.Hello{
		Host: e.Host, AvailabilityZone: string(peer.Zone), Region: string(peer.Region), Incarnation: e.Incarnation,
		LinkAddress: peer.LinkAddress, CallerAddress: peer.CallerAddress,
	}, true
}

// queueDown passes an entry that came directly from its host on to the hosts that send through this one.
func (p *Peers) queueDown(now time.Time, from wire.Hello, e wire.Relayed, known *wire.EdgeHeartbeat) {
	p.mu.Lock()
	if len(p.relayed.attached) == 0 {
		p.mu.Unlock()
		return
	}
	p.mu.Unlock()
	e.Hello = p.helloIfUnknown(from)
	p.mu.Lock()
	p.relayed.outcomes.down.Add(e.Evidence)
	e.Evidence = nil
	add(&p.relayed.down, e, isUnchanged(e, known))
	p.mu.Unlock()
	if isUrgent(e) {
		p.flush(now)
	}
}

// flush sends the batches. The hosts that send through this one get a batch each time, from which they see that it is
// alive.
func (p *Peers) flush(now time.Time) {
	p.mu.Lock()
	up, down, reported := p.relayed.up, p.relayed.down, p.relayed.outcomes
	if p.missedFlush(now) {
		p.relayed.quietUntil = now.Add(resumeQuiet)
		up, down, reported = withoutHeartbeats(up), withoutHeartbeats(down), newOutcomes()
	}
	p.relayed.up, p.relayed.down, p.relayed.flushedAt = wire.RelayBatch{}, wire.RelayBatch{}, now
	p.relayed.outcomes = newOutcomes()
	var attached []ident.Host
	for host, at := range p.relayed.attached {
		if now.Sub(at) > attachTimeout {
			delete(p.relayed.attached, host)
			continue
		}
		attached = append(attached, host)
	}
	relays := p.plan.Links
	p.mu.Unlock()
	self := wire.Relayed{Host: string(p.deps.Host), Incarnation: p.deps.Self.Incarnation}
	if up = reported.upBatch(up, self); len(up.Entries)+len(up.Alive) > 0 {
		up.Forward = true
		for _, host := range relays {
			_ = p.deps.Send(host, wire.Frame{RelayBatch: &up})
		}
	}
	for _, host := range attached {
		b := reported.downBatch(down, self, host)
		_ = p.deps.Reply(host, wire.Frame{RelayBatch: &b})
	}
}

// withoutHeartbeats returns the batch with the faults and strikes only.
func withoutHeartbeats(b wire.RelayBatch) wire.RelayBatch {
	entries := b.Entries[:0:0]
	for _, e := range b.Entries {
		if e.Trip != nil || e.Strike != nil {
			entries = append(entries, e)
		}
	}
	return wire.RelayBatch{Entries: entries}
}

// snapshot returns the last heartbeats of the active peers among the hosts, nil for all peers.
func (p *Peers) snapshot(now time.Time, hosts map[ident.Host]time.Time) []wire.Relayed {
	list := []wire.Relayed{}
	for _, peer := range p.Active(now) {
		if _, ok := hosts[peer.Host]; hosts != nil && !ok {
			continue
		}
		heartbeat := peer.Heartbeat
		list = append(list, wire.Relayed{Host: string(peer.Host), Incarnation: peer.incarnation, EdgeHeartbeat: &heartbeat})
	}
	return list
}

// OnLinkOpen tells a host to which a link has opened what it may not know, and of the hosts that send through this one.
func (p *Peers) OnLinkOpen(to wire.Hello) {
	p.handOver(p.deps.Send, ident.Host(to.Host))
	now := time.Now()
	p.mu.Lock()
	attached := make(map[ident.Host]time.Time, len(p.relayed.attached))
	for host, at := range p.relayed.attached {
		attached[host] = at
	}
	p.mu.Unlock()
	if len(attached) == 0 {
		return
	}
	b := wire.RelayBatch{Entries: p.snapshot(now, attached), Alive: []int{}, Forward: true}
	_ = p.deps.Send(ident.Host(to.Host), wire.Frame{RelayBatch: &b})
}
