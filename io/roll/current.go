package roll

import (
	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/io/watch"
)

// current is the version of a service apart from a running move.
type current struct {
	version ident.Version
	none    bool // no listed version may get requests, except those of a trial
	listed  bool // a server of the version is listed
	guessed bool // several versions were listed and nothing stored named one
}

// SetServers determines the current version of each service from its backend servers, ignoring draining ones. A service
// stays on its version until a move to another one is done or no server of that version is left.
func (r *Rollouts) SetServers(entries []roster.Entry) {
	counts := map[ident.Service]map[ident.Version]int{}
	for _, e := range entries {
		if e.Draining {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = map[ident.Version]int{}
		}
		counts[e.Service][e.Version]++
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, c := range r.currents {
		if counts[service] == nil {
			c.listed = false
			r.currents[service] = c
		}
	}
	for service, versions := range counts {
		c := r.findCurrent(service, versions)
		c.listed = versions[c.version] > 0
		r.currents[service] = c
	}
}

// findCurrent returns the current version of a service with the given numbers of servers. The caller must hold r.mu.
func (r *Rollouts) findCurrent(service ident.Service, versions map[ident.Version]int) current {
	if to, ok := r.doneMove(service); ok {
		return current{version: to}
	}
	known := r.currents[service]
	if versions[known.version] > 0 && !known.guessed {
		return known
	}
	unproved := r.unprovedVersion(service)
	if s, ok := r.deps.Watch.Stage(service); ok && unproved != "" && s.To == string(unproved) && versions[stageFrom(s)] > 0 {
		return current{version: stageFrom(s)}
	}
	if version, ok := r.deps.PeerVersion(service); ok && (versions[version] > 0 || known.version == "") {
		return current{version: version}
	}
	best := mostCommon(versions, unproved)
	if best == "" {
		// Only the version that is not proved is listed. The version before may come back.
		return current{version: known.version, none: known.version == "" || known.version == unproved}
	}
	return current{version: best, guessed: known.version == "" && len(versions) > 1}
}

// adoptPeerVersions replaces guessed versions by those that peers name.
func (r *Rollouts) adoptPeerVersions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, c := range r.currents {
		if !c.guessed && !c.none {
			continue
		}
		if version, ok := r.deps.PeerVersion(service); ok {
			r.currents[service] = current{version: version, listed: true}
		}
	}
}

// doneMove returns the target of the service's last move if that is done.
func (r *Rollouts) doneMove(service ident.Service) (ident.Version, bool) {
	status, ok := r.deps.Watch.MoveStatus(service)
	if !ok || status.State != watch.MoveDone {
		return "", false
	}
	if order, ok := r.orderFor(service); ok && !status.Revision.FollowsInEra(order.Revision) {
		return "", false
	}
	return status.To, true
}

// unprovedVersion returns the version that the service is ordered to move to, unless it has been proved: it is on trial, was
// found bad, or nothing is known of it. It returns an empty version if there is none.
func (r *Rollouts) unprovedVersion(service ident.Service) ident.Version {
	if m := r.moves[service]; m != nil && m.endState == watch.MoveDone {
		return ""
	}
	order, ok := r.orderFor(service)
	if !ok {
		if m := r.moves[service]; m != nil {
			return m.order.To // the store has lost the order in a restore
		}
		return ""
	}
	return order.To
}

// orderFor returns the order to move the service.
func (r *Rollouts) orderFor(service ident.Service) (watch.MoveOrder, bool) {
	for _, o := range r.deps.Watch.Orders() {
		if o.Service == service {
			return o, true
		}
	}
	return watch.MoveOrder{}, false
}

// mostCommon returns the version that most servers run, and the first in alphabetical order of equally common ones, without
// the excluded one. It returns an empty version if there is no other.
func mostCommon(versions map[ident.Version]int, excluded ident.Version) ident.Version {
	var best ident.Version
	for version, n := range versions {
		if version == excluded {
			continue
		}
		if best == "" || n > versions[best] || n == versions[best] && version < best {
			best = version
		}
	}
	return best
}

// Versions returns the current version of each service with a move, for the peers: a host that starts may not be able to
// tell it from the servers.
func (r *Rollouts) Versions() map[ident.Service]ident.Version {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[ident.Service]ident.Version{}
	for service := range r.moves {
		if c := r.currents[service]; c.version != "" && !c.guessed {
			list[service] = c.version
		}
	}
	return list
}
