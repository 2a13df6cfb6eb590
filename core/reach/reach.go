// Package reach decides whether a host is cut off from all backend servers, from how its attempts to reach them end.
package reach

import (
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	// minFailed is the number of backend servers that must fail, one after another without a success in between, before the
	// host counts as cut off. If it knows fewer servers, all of them must.
	minFailed = 3
	// minSuspected is the number from which the host probes other servers by itself. Servers that are down may be several, so
	// that ProbeSize probes must fail as well.
	minSuspected  = 2
	probeInterval = 250 * time.Millisecond
	// ProbeSize is the number of servers to probe at a time.
	ProbeSize = 3
	// failureRetention is how long a failure counts. Failures far apart are those of single servers.
	failureRetention = 3 * time.Second
	checkInterval    = 500 * time.Millisecond
	refusalRetention = 10 * time.Second // how long a refused connection is remembered
)

// failures holds the servers that failed, and when.
type failures map[ident.BackendServer]time.Time

// Detector tracks attempts of a host to reach backend servers. A cut may let no connection be opened although open ones
// live on, or may accept connections that carry nothing, so both are counted for themselves. It is safe for concurrent use.
type Detector struct {
	// OnChange is called when the host becomes cut off or reaches a server again, without the lock held.
	OnChange func(cutOff bool)

	mu         sync.Mutex
	unopened   failures // no connection could be opened, since one that was opened had an answer
	unanswered failures // a request had no answer, since any answer
	answeredAt time.Time
	probes     int // that have failed since an answer on a new connection
	known      int // number of servers that requests may be sent to
	cutOff     bool
	endedAt    time.Time // when the last cut ended
	probedAt   time.Time
	refused    failures // servers whose machines refused a connection, which shows that they are reached and their process is gone
	checked    failures // servers that were asked whether their process is gone
}

// New returns a detector of a host that is not cut off.
func New() *Detector {
	return &Detector{OnChange: func(bool) {}, unopened: failures{}, unanswered: failures{}, refused: failures{}, checked: failures{}}
}

// SetKnown sets the number of servers that requests may be sent to.
func (d *Detector) SetKnown(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.known = n
}

// RecordAnswer records that a server has answered, on a connection that was opened for the request or on an older one.
func (d *Detector) RecordAnswer(now time.Time, newConnection bool) {
	d.mu.Lock()
	d.answeredAt = now
	clear(d.unanswered)
	if newConnection {
		clear(d.unopened)
		d.probes = 0
	}
	changed := d.updateCutOff()
	if changed {
		d.endedAt = now
	}
	d.mu.Unlock()
	if changed {
		d.OnChange(false)
	}
}

// RecordUnopened records that no connection to the server could be opened.
func (d *Detector) RecordUnopened(now time.Time, server ident.BackendServer) {
	d.recordFailure(now, d.unopened, server)
}

// RecordRefused records that the server's machine has refused a new connection, besides that it could not be opened.
func (d *Detector) RecordRefused(now time.Time, server ident.BackendServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, at := range d.refused {
		if now.Sub(at) > refusalRetention {
			delete(d.refused, other)
		}
	}
	d.refused[server] = now
}

// RefusedSince reports whether the server's machine has refused a connection since the given time.
func (d *Detector) RefusedSince(server ident.BackendServer, t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refused[server].After(t)
}

// TakeCheck reports whether the server is to be asked now whether its process is gone, at most once in checkInterval.
func (d *Detector) TakeCheck(now time.Time, server ident.BackendServer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now.Sub(d.checked[server]) < checkInterval {
		return false
	}
	for other, at := range d.checked {
		if now.Sub(at) >= checkInterval {
			delete(d.checked, other)
		}
	}
	d.checked[server] = now
	return true
}

// Answering reports whether any server has answered since the given time.
func (d *Detector) Answering(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredAt.After(t)
}

// RecordBroken records that the connection to the server was lost before its answer.
func (d *Detector) RecordBroken(now time.Time, server ident.BackendServer) {
	d.recordFailure(now, d.unanswered, server)
}

// RecordSilent records that the server has not answered a request yet, although its answer was expected by now. It is ignored
// if any server has answered since the request was sent.
func (d *Detector) RecordSilent(now time.Time, server ident.BackendServer, sentAt time.Time) {
	d.mu.Lock()
	answered := d.answeredAt.After(sentAt)
	d.mu.Unlock()
	if !answered {
		d.recordFailure(now, d.unanswered, server)
	}
}

// RecordProbe records that a probe of the server failed: no connection could be opened, or it had no answer.
func (d *Detector) RecordProbe(now time.Time, server ident.BackendServer, opened bool) {
	d.mu.Lock()
	d.probes++
	d.mu.Unlock()
	if opened {
		d.RecordBroken(now, server)
		return
	}
	d.RecordUnopened(now, server)
}

func (d *Detector) recordFailure(now time.Time, f failures, server ident.BackendServer) {
	d.mu.Lock()
	f[server] = now
	d.forgetOld(now)
	changed := d.updateCutOff()
	d.mu.Unlock()
	if changed {
		d.OnChange(true)
	}
}

// updateCutOff decides anew whether the host is cut off, and reports whether that has changed. A host that is cut off
// remains so until all its failures were followed by a success. The caller holds mu.
func (d *Detector) updateCutOff() (changed bool) {
	before := d.cutOff
	most := max(len(d.unopened), len(d.unanswered))
	failed := most >= max(1, min(minFailed, d.known)) && d.probes >= max(1, min(ProbeSize, d.known))
	d.cutOff = failed || before && most > 0
	return d.cutOff != before
}

// forgetOld drops failures that count no more, unless the host is cut off. The caller holds mu.
func (d *Detector) forgetOld(now time.Time) {
	if d.cutOff {
		return
	}
	for _, f := range []failures{d.unopened, d.unanswered} {
		for server, at := range f {
			if now.Sub(at) > failureRetention {
				delete(f, server)
			}
		}
	}
	if len(d.unopened)+len(d.unanswered) == 0 {
		d.probes = 0
	}
}

// CutOff reports whether the host is cut off from all backend servers, as far as it knows.
func (d *Detector) CutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff
}

// CutOffSince reports whether the host was cut off at any time since the given one.
func (d *Detector) CutOffSince(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cutOff || d.endedAt.After(t)
}

// TakeProbe reports whether a server is to be probed now, to find out whether the host is cut off or no longer so. It
// returns true at most once in probeInterval, and never while servers answer.
func (d *Detector) TakeProbe(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetOld(now)
	suspected := max(len(d.unopened), len(d.unanswered)) >= max(1, min(minSuspected, d.known))
	if !d.cutOff && !suspected || now.Sub(d.probedAt) < probeInterval {
		return false
	}
	d.probedAt = now
	return true
}

// Failed reports whether the server has failed since the last success.
func (d *Detector) Failed(server ident.BackendServer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, unopened := d.unopened[server]
	_, unanswered := d.unanswered[server]
	return unopened || unanswered
}
