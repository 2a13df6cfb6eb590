package entry

import (
	"time"

	"jayshift/core/canary"
	"jayshift/core/ident"
	"jayshift/core/route"
)

// useProvedVersion makes the next attempt use the version that the service is not being moved to.
func (q *request) useProvedVersion() {
	q.version, q.newVersion, q.onlyVersion = ident.Version(q.service.Version), false, false
}

// acquireVersion acquires a slot of a server of the request's version. The new version is used for the first attempt only,
// if one of its servers has a slot at once; otherwise the request does not wait for it, unless the move is about to end.
func (e *Entry) acquireVersion(q *request) (route.Choice, heldSlot, *problem) {
	if !q.newVersion || q.onlyVersion {
		return e.acquire(q)
	}
	version := q.version
	if q.attempts == 0 {
		if choice, held, ok := e.tryAcquire(q); ok {
			if e.deps.Gate.Open(time.Now(), q.service.Name, version) {
				return choice, held, nil
			}
			held.release() // found bad while the request waited for a peer's slot
		}
		e.deps.Gate.Return(q.service.Name, version)
	}
	q.useProvedVersion()
	return e.acquire(q)
}

// recordStart counts a request that is sent while a shift moves the service to another version. The returned function
// counts its end, which shows nothing of the server if recordEvidence was not called meanwhile.
func (e *Entry) recordStart(q *request, s *route.Server) (end func()) {
	if !q.versionMove {
		return func() {}
	}
	e.deps.Evidence.Start(time.Now(), q.seriesKey(s))
	q.outcomeKnown = false
	return func() {
		if !q.outcomeKnown {
			e.deps.Evidence.Drop(time.Now(), q.seriesKey(s))
		}
	}
}

// recordEvidence counts the outcome of the running attempt for the comparison of the old and new version.
func (e *Entry) recordEvidence(q *request, s *route.Server, result canary.Result, latency time.Duration) {
	if !q.versionMove || q.outcomeKnown {
		return
	}
	q.outcomeKnown = true
	e.deps.Evidence.Add(time.Now(), q.seriesKey(s), result, latency)
}

func (q *request) seriesKey(s *route.Server) canary.SeriesKey {
	return canary.SeriesKey{Service: s.Service, Version: s.Version, Route: q.route()}
}

// recordRefused counts a request that no backend server could take.
func (e *Entry) recordRefused(q *request) {
	if q.versionMove && q.attempts == 0 {
		e.deps.Evidence.AddRefused(time.Now(), q.service.Name)
	}
}
