package peer

import (
	"slices"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/wire"
)

// outcomes are the request outcomes that a relay passes on with its next batches, added up: passed on one by one, they would
// grow with the fleet.
type outcomes struct {
	up   *canary.Sum                // of the hosts that send through this one, for the other relays
	down *canary.Sum                // of all other hosts, for the hosts that send through this one
	own  map[ident.Host]*canary.Sum // the part of each of these hosts in down, which it has counted itself
}

func newOutcomes() outcomes {
	return outcomes{up: canary.NewSum(), down: canary.NewSum(), own: map[ident.Host]*canary.Sum{}}
}

// addAttached adds the outcomes of a host that sends through this one.
func (o *outcomes) addAttached(host ident.Host, list []wire.Evidence) {
	if len(list) == 0 {
		return
	}
	o.up.Add(list)
	o.down.Add(list)
	if o.own[host] == nil {
		o.own[host] = canary.NewSum()
	}
	o.own[host].Add(list)
}

// upBatch returns the batch for the other relays, with the outcomes.
func (o *outcomes) upBatch(b wire.RelayBatch, self wire.Relayed) wire.RelayBatch {
	return withOutcomes(b, self, o.up.Without(nil))
}

// downBatch returns the batch for a host that sends through this one, with the outcomes of all other hosts.
func (o *outcomes) downBatch(b wire.RelayBatch, self wire.Relayed, to ident.Host) wire.RelayBatch {
	if o.down.Empty() {
		return b
	}
	return withOutcomes(b, self, o.down.Without(o.own[to]))
}

// withOutcomes returns the batch with an entry of its own for the outcomes, if there are any.
func withOutcomes(b wire.RelayBatch, self wire.Relayed, list []wire.Evidence) wire.RelayBatch {
	if len(list) == 0 {
		return b
	}
	self.Evidence = list
	b.Entries = append(slices.Clip(b.Entries), self)
	return b
}
