package watch

import (
	"time"

	"jayshift/core/wire"
)

// maxMissed is the age of a copy up to which its host has missed nothing of the store, whoever else has. It is above the usual
// time between two confirmations.
const maxMissed = 1500 * time.Millisecond

// caution is a time in which removals of backend servers are delayed, since registrations may have expired in an outage of the store
// although the servers run.
type caution struct {
	failedAt time.Time // when the store failed the host that was cautious first
	until    time.Time
}

// missedNothing reports whether the copy was confirmed after the store had failed some host, and lately: the store served others
// meanwhile. The caller holds mu.
func (w *Watch) missedNothing(failedAt, now time.Time) bool {
	return w.confirmedAt.After(failedAt) && now.Sub(w.confirmedAt) <= maxMissed
}

// beCautious delays removals. The caller holds mu.
func (w *Watch) beCautious(c caution) {
	w.roster.DelayRemovals(c.until)
	if c.until.After(w.caution.until) {
		w.caution = c
	}
}

// stateCaution adds this host's caution to a copy. The caller holds mu.
func (w *Watch) stateCaution(c *wire.Copy) {
	now := w.deps.Now()
	if !now.Before(w.caution.until) {
		return
	}
	c.Regained = true
	c.CautionMs, c.FailedMs = milliseconds(w.caution.until.Sub(now)), milliseconds(now.Sub(w.caution.failedAt))
}

// adoptCaution delays removals here as long as at a peer whose copy this host takes, unless this host has missed nothing. No copy
// starts a delay anew. Builds that say only that they have regained the store delay it from now on.
func (w *Watch) adoptCaution(c wire.Copy, requestedAt time.Time) {
	if !c.Regained {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.deps.Now()
	if c.CautionMs == nil || c.FailedMs == nil {
		w.beCautious(caution{failedAt: now, until: now.Add(removalDelay)})
		return
	}
	failedAt := now.Add(-time.Duration(max(*c.FailedMs, 0)) * time.Millisecond)
	if w.missedNothing(failedAt, now) {
		return
	}
	left := min(max(time.Duration(*c.CautionMs)*time.Millisecond, 0), removalDelay)
	w.beCautious(caution{failedAt: failedAt, until: madeAt(c, requestedAt).Add(left)})
}

// madeAt returns a time at which a peer's copy was not made yet: no earlier than the peer has waited after the request.
func madeAt(c wire.Copy, requestedAt time.Time) time.Time {
	if c.WaitedMs == nil {
		return requestedAt
	}
	return requestedAt.Add(min(max(time.Duration(*c.WaitedMs)*time.Millisecond, 0), maxCopyWait))
}
