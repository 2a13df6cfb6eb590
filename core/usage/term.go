package usage

import (
	"time"

	"jayshift/core/ident"
)

const (
	fixRetryDelay  = 500 * time.Millisecond // between attempts to write the same record
	sendRetryDelay = 1 * time.Second        // between calls of the platform for the same report
	// eraClockMargin is how much the clocks of two hosts may differ when a term leaves out what an earlier era may have fixed.
	eraClockMargin = 1 * time.Second
	// gatherTime is the time from the begin of a term in which all hosts have sent their counts to the new holder.
	gatherTime = 1500 * time.Millisecond
)

// term is the time for which a host holds the duty.
type term struct {
	revision       ident.Revision // of the duty key
	token          Token
	lease          int64
	since          time.Time
	rankedAt       time.Time // when this host last was among those that compete for the duty
	last           Window    // the last window that was fixed or is given up
	pending        []pending
	accepted       map[Window]bool // of the windows in fixing
	recordRevision ident.Revision  // of the record, as far as this host knows
	fixing         *Record         // being written, until the store answers
	fixAt          time.Time       // when the write is tried again
}

// pending is a fixed report that is not known to be accepted.
type pending struct {
	Fixed
	tryAt time.Time
}

// newTerm returns the term that began with the write of the duty key at the revision, in an era of the store that this host
// first saw at eraSeenAt. Without a record of this era, the windows are left out that an earlier era may have fixed.
func newTerm(now time.Time, s Schedule, revision ident.Revision, token Token, lease int64, eraSeenAt time.Time, f Facts) *term {
	t := &term{revision: revision, token: token, lease: lease, since: now, rankedAt: now, last: s.firstOpen(now) - 1, accepted: map[Window]bool{}}
	if r := f.Record; r.Term == 0 || r.Term.Era() < revision.Era() {
		for s.closeAt(t.last + 1).Before(eraSeenAt.Add(eraClockMargin)) {
			t.last++
		}
	}
	t.absorb(now, s, f.Record, f.RecordRevision)
	return t
}

// absorb takes over what the store holds. Fixed reports that are past due are dropped.
func (t *term) absorb(now time.Time, s Schedule, r Record, revision ident.Revision) {
	t.recordRevision = revision
	t.last = max(t.last, r.Last)
	for _, f := range r.Pending {
		known := false
		for _, p := range t.pending {
			known = known || p.Window == f.Window
		}
		if !known && now.Before(s.Due(f.Window)) {
			t.pending = append(t.pending, pending{Fixed: f})
		}
	}
}

// dropPastDue removes the fixed reports that are past due, and returns their windows.
func (t *term) dropPastDue(now time.Time, s Schedule) []Window {
	var dropped []Window
	kept := t.pending[:0]
	for _, p := range t.pending {
		if now.Before(s.Due(p.Window)) {
			kept = append(kept, p)
			continue
		}
		dropped = append(dropped, p.Window)
	}
	t.pending = kept
	return dropped
}

// nextSend returns the fixed report to send now, nil if there is none.
func (t *term) nextSend(now time.Time) *pending {
	for i := range t.pending {
		if !now.Before(t.pending[i].tryAt) {
			return &t.pending[i]
		}
	}
	return nil
}

// sent records the result of a call for a window.
func (t *term) sent(now time.Time, w Window, accepted bool) {
	for i := range t.pending {
		switch {
		case t.pending[i].Window != w:
		case accepted:
			t.accepted[w] = true
			t.pending = append(t.pending[:i], t.pending[i+1:]...)
			return
		default:
			t.pending[i].tryAt = now.Add(sendRetryDelay)
		}
	}
}

// missedBefore returns the windows between the last one that an earlier term has fixed and the first one that this term can
// report, as the first of them and their number.
func missedBefore(now time.Time, s Schedule, r Record) (first Window, count int) {
	if r.Term == 0 {
		return 0, 0
	}
	return r.Last + 1, int(max(0, s.firstOpen(now)-1-r.Last))
}

// fixed records that the record that was being written is in the store.
func (t *term) fixed(revision ident.Revision) {
	r := t.fixing
	t.fixing, t.recordRevision, t.last = nil, revision, max(t.last, r.Last)
	t.pending = nil
	for _, f := range r.Pending {
		if !t.accepted[f.Window] {
			t.pending = append(t.pending, pending{Fixed: f})
		}
	}
	clear(t.accepted)
}
