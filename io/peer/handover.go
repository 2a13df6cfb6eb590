package peer

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// handOver tells another host what it may not know, since it has started or was cut off. send is Deps.Send or Deps.Reply.
func (p *Peers) handOver(send func(ident.Host, wire.Frame) error, to ident.Host) {
	strikes := p.deps.Strikes()
	if len(strikes) == 0 {
		return
	}
	_ = send(to, wire.Frame{Handover: &wire.Handover{Strikes: strikes}})
}

// receiveHandover handles what another host has handed over, and passes on what was not known: to the other hosts that send
// through this one, and to the other relays if it comes from a host that sends through this one.
func (p *Peers) receiveHandover(now time.Time, from ident.Host, h wire.Handover) {
	unknown := p.deps.OnHandover(h)
	if len(unknown.Strikes) == 0 {
		return
	}
	f := wire.Frame{Handover: &unknown}
	p.mu.Lock()
	var attached []ident.Host
	fromAttached := false
	for host, at := range p.relayed.attached {
		switch {
		case now.Sub(at) > attachTimeout:
		case host == from:
			fromAttached = true
		default:
			attached = append(attached, host)
		}
	}
	relays := p.plan.Links
	p.mu.Unlock()
	for _, host := range attached {
		_ = p.deps.Reply(host, f)
	}
	if !fromAttached {
		return
	}
	for _, host := range relays {
		_ = p.deps.Send(host, f)
	}
}
