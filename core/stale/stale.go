// Package stale decides whether a host may still use its copy of the platform's store. A host that cannot get a later copy
// goes on with the one that it has, however old that is: the store may be out, or the host cut off. A host that could get a
// later one, but has not for longer than the bound, must not use its copy: what it holds may have been withdrawn since.
package stale

import (
	"sync"
	"time"
)

const (
	// MaxFreshAge is the age of a copy up to which a host tells its peers that its copy is fresh.
	MaxFreshAge = 1500 * time.Millisecond
	// maxClaimAge is the age of a peer's statement that its copy is fresh when it arrives: the time between two heartbeats
	// and the way through two relays.
	maxClaimAge = 900 * time.Millisecond
	// maxTransit is the time that a heartbeat takes at most which comes straight from its sender.
	maxTransit = 400 * time.Millisecond
	// minLag is how much later the store must be known to have answered than the copy was confirmed. A copy in regular use
	// is never that old.
	minLag = 1500 * time.Millisecond
	// maxAnswerTime is the time that an answer of the store may take: a slow store is no sign that a later copy can be had.
	maxAnswerTime = 600 * time.Millisecond
	// maxPathGap is the time without a sign of a path to the store after which there counts as none.
	maxPathGap = 2500 * time.Millisecond
)

// Monitor records the signs that a host could get a later copy of the store. It is safe for concurrent use.
type Monitor struct {
	bound time.Duration

	mu        sync.Mutex
	storeAt   time.Time // a time at which the store could be read, by this host or a peer
	pathAt    time.Time // when the last sign arrived
	pathSince time.Time // when signs began to arrive without a gap
}

// New returns a monitor without signs. The bound is the age from which a copy is not used if a later one could be had.
func New(bound time.Duration) *Monitor { return &Monitor{bound: bound} }

// RecordStore records that the store has answered a call that this host sent at the given time.
func (m *Monitor) RecordStore(now, sentAt time.Time) {
	if now.Sub(sentAt) <= maxAnswerTime {
		m.record(now, sentAt)
	}
}

// RecordPeer records the arrival of a peer's heartbeat which says that the peer's copy is fresh.
func (m *Monitor) RecordPeer(now time.Time) { m.record(now, now.Add(-MaxFreshAge-maxClaimAge)) }

// RecordPeerAge records the arrival of a heartbeat, straight from a peer, which says how old the peer's copy is.
func (m *Monitor) RecordPeerAge(now time.Time, age time.Duration) {
	m.record(now, now.Add(-age-maxTransit))
}

func (m *Monitor) record(now, storeAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.pathAt) > maxPathGap {
		m.pathSince = now
	}
	m.pathAt = now
	if storeAt.After(m.storeAt) {
		m.storeAt = storeAt
	}
}

// Expired reports whether a copy must not be used that was last confirmed at the given time. A path to the store that has
// just come back leaves the host as much time as the bound to confirm its copy.
func (m *Monitor) Expired(now, confirmedAt time.Time) bool {
	if now.Sub(confirmedAt) <= m.bound {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.storeAt.Sub(confirmedAt) <= minLag {
		return false
	}
	return now.Sub(m.pathAt) <= maxPathGap && now.Sub(m.pathSince) > m.bound
}
