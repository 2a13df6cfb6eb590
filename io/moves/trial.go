package moves

import (
	"time"

	"jayshift/core/canary"
	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
)

// listPause is the time in which all hosts have read a new list or stopped serving. Until then, hosts may use the list before.
const listPause = 5 * time.Second

// trialShare returns the share of the requests that a version on trial gets.
func trialShare(shift config.Shift) float64 {
	if shift.TrialShare <= 0 {
		return canary.DefaultShare
	}
	return shift.TrialShare
}

// allowed returns how many requests this host may have sent to the version on trial since it first used the list of hosts.
func (m *Moves) allowed(now time.Time, id canary.TrialID, service ident.Service, version ident.Version, verdict wire.Verdict) int {
	counts := m.deps.Evidence.Counts(service, version)
	m.mu.Lock()
	e := m.trials[service].Next(now, id, counts, listPause)
	m.trials[service] = e
	m.mu.Unlock()
	limits := canary.Trial{Part: verdict.Shares[string(service)], Exposure: canary.DefaultExposure}
	return e.Allowed(now, limits, counts, m.deps.Self(), verdict.Hosts)
}

// listHosts returns the list of hosts for a trial.
func (m *Moves) listHosts() []wire.TrialHost { return canary.ListHosts(m.deps.Hosts()) }

// updateHosts sets the list of hosts of the next verdict, and reports whether it is a new one.
func (m *Moves) updateHosts(now time.Time, shift config.Shift, old wire.Verdict, next *wire.Verdict) bool {
	if len(next.Trials) == 0 {
		return false
	}
	next.Hosts = old.Hosts
	if !m.listUsed(now, shift) || !canary.IsOutworn(old.Hosts, m.deps.Hosts()) {
		return false
	}
	next.Hosts = m.listHosts()
	for service := range next.Trials {
		next.Trials[service]++
	}
	return true
}

// listUsed reports whether the list of hosts has been in use for some time.
func (m *Moves) listUsed(now time.Time, shift config.Shift) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service := range shift.Versions {
		if now.Before(m.trials[ident.Service(service)].UsableFrom().Add(listPause)) {
			return false
		}
	}
	return true
}
