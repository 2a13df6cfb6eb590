package host

import (
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// maxHeartbeatAge is the age of the last heartbeat up to which a host is put on the list of a trial.
const maxHeartbeatAge = 3 * time.Second

// trialHost returns this host as it stands on the lists of trials.
func (h *Host) trialHost() wire.TrialHost {
	return wire.TrialHost{Host: h.settings.Name, Incarnation: h.Member.Hello().Incarnation}
}

// trialHosts returns the active hosts of the fleet.
func (h *Host) trialHosts() []wire.TrialHost {
	list := []wire.TrialHost{h.trialHost()}
	peers, now := h.Member.Peers(), time.Now()
	for _, seat := range h.Member.Table().Seats {
		if p, ok := peers[ident.Host(seat.Host)]; ok && now.Sub(p.LastHeartbeat) <= maxHeartbeatAge && !p.Draining {
			list = append(list, wire.TrialHost{Host: seat.Host, Incarnation: seat.Incarnation})
		}
	}
	return list
}
