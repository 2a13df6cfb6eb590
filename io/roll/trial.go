package roll

import (
	"time"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/watch"
)

// trialList returns the number of the stage's list of hosts, 0 if the version is not on trial.
func trialList(s watch.Stage) int {
	if s.Trial == nil {
		return 0
	}
	return *s.Trial
}

// stageFrom returns the version that the stage moves the service from, empty if it is not known.
func stageFrom(s watch.Stage) ident.Version {
	if s.From == nil {
		return ""
	}
	return ident.Version(*s.From)
}

// allowed returns how many requests this host may have sent to the version on trial since it first used the stage's list of
// hosts. The caller must hold r.mu.
func (r *Rollouts) allowed(now time.Time, m *move, id canary.TrialID, s watch.Stage) int {
	counts := r.deps.Evidence.Counts(m.order.Service, m.order.To)
	m.trial = m.trial.Next(now, id, counts, permissionTime)
	limits := canary.Trial{Part: canary.DefaultPart, Exposure: r.deps.Exposure}
	return m.trial.Allowed(now, limits, counts, r.deps.Self, s.Hosts)
}

// listHosts returns the list of hosts for a trial.
func (r *Rollouts) listHosts() []wire.TrialHost { return canary.ListHosts(r.deps.Hosts()) }

// needsList reports whether the trial needs another list of hosts. A list is used for some time before it is replaced.
func (r *Rollouts) needsList(now time.Time, m *move, s watch.Stage) bool {
	r.mu.Lock()
	usableFrom := m.trial.UsableFrom()
	r.mu.Unlock()
	return !now.Before(usableFrom.Add(permissionTime)) && canary.IsOutworn(s.Hosts, r.deps.Hosts())
}
