package usage

import (
	"sync"
	"time"

	"jayshift/core/ident"
)

const (
	// leaseMargin is the time before the end of the lease at which a holder stops. It covers the difference between the speeds
	// of two clocks and the time from the decision to a call until it is sent.
	leaseMargin = 300 * time.Millisecond
	// quietMargin is added to the lease time where a host waits until another host's lease must have ended.
	quietMargin = 500 * time.Millisecond
	// rankDelay is the time between the attempts of two hosts to take the duty. It is longer than it takes a host to learn that
	// another one has taken it.
	rankDelay    = 1200 * time.Millisecond
	minLeaseLeft = 1 * time.Second // of the lease of a host that takes the duty
	retryDelay   = 1 * time.Second // after a failed attempt to take or to release the duty
	// lateCallTime is how long after the end of a term its calls without an answer may still be carried out.
	lateCallTime = 15 * time.Second
	// unreachedTime is how long a holder goes on without a place among the hosts that compete for the duty.
	unreachedTime = 2 * time.Second
)

// Lease is the lease of this host's registration, as far as this host knows.
type Lease struct {
	ID    int64
	Until time.Time // when it may have ended, counted from the sending of the last renewal that was answered
}

// Key is what the store holds as the duty key.
type Key struct {
	Revision    ident.Revision // 0 if there is no key
	Host        ident.Host
	Incarnation int
	Lease       int64 // that the key is attached to
}

// Facts is what a host knows. All of it comes from its copy of the store but Lease and Rank.
type Facts struct {
	Revision       ident.Revision // up to which the copy is complete; 0 if there is none
	Fresh          bool           // the copy was confirmed a moment ago
	Key            Key
	Record         Record
	RecordRevision ident.Revision // at which the store holds the record, 0 if it holds none
	Lease          Lease
	Rank           int // of this host among those that compete for the duty, from 0; negative if it does not compete
}

// ActionKind tells what to do.
type ActionKind string

// Kinds of actions.
const (
	Wait    ActionKind = ""
	Take    ActionKind = "take"    // write the duty key, attached to Lease, if there is none
	Release ActionKind = "release" // delete the duty key if it is at KeyRevision
	Fix     ActionKind = "fix"     // write Record if the duty key is at KeyRevision and the record at RecordRevision
	Send    ActionKind = "send"    // call the platform with Token and the report
)

// Action is the next call of a host. It must be made at once or not at all, and its result passed to Duty.Done.
type Action struct {
	Kind           ActionKind
	Lease          int64
	KeyRevision    ident.Revision
	RecordRevision ident.Revision
	Record         Record
	Token          Token
	Report         Fixed
	Until          time.Time // no part of the call may be sent later
}

// Outcome is the outcome of a call.
type Outcome string

// Outcomes of calls.
const (
	Done     Outcome = "done"
	Conflict Outcome = "conflict" // a condition of the transaction does not hold, and nothing was written
	Refused  Outcome = "refused"  // the platform has seen a higher token
	Failed   Outcome = "failed"   // refused for another reason, or without an answer: it may be carried out later
)

// Result is the result of a call of the store or the platform.
type Result struct {
	Outcome  Outcome
	Revision ident.Revision // of the write, if it is done
	// What the store held instead, in a conflict.
	KeyRevision    ident.Revision
	Record         Record
	RecordRevision ident.Revision
}

// Settings are the settings of a Duty.
type Settings struct {
	Host        ident.Host
	Incarnation int
	Schedule    Schedule
	LeaseTime   time.Duration // after which the store ends a lease that is not renewed
	// Complete reports whether all counts of a window have arrived, and Body returns its report as it stands.
	Complete func(Window) bool
	Body     func(Window) string
	// TokenOf returns the token of a term by the revision of the duty key.
	TokenOf func(ident.Revision) Token
	// OnBegin is called when this host takes the duty, OnEnd when its term ends, OnMissed when windows are given up that were not
	// reported, or not known to be accepted. They must not call the Duty.
	OnBegin  func(Token)
	OnEnd    func(Token, EndReason)
	OnMissed func(first Window, count int)
}

// EndReason is why a term has ended.
type EndReason string

// Reasons for the end of a term.
const (
	EndLease    EndReason = "lease-ended"
	EndRestored EndReason = "store-restored"
	EndKey      EndReason = "key-changed"
	EndRefused  EndReason = "refused-by-platform"
	EndStopping EndReason = "stopping"
	// EndUnreached means that this host is no longer one of those that every host can send to.
	EndUnreached EndReason = "unreached"
)

// Duty decides whether this host holds the duty, and what it does then. It is safe for concurrent use, but its actions must
// be made one at a time.
type Duty struct {
	settings Settings

	mu          sync.Mutex
	facts       Facts
	era         ident.Era
	eraSeenAt   time.Time // when this host first saw era; zero before it has a copy
	absentSince time.Time // since when the copy holds no duty key; zero while it does
	quietUntil  time.Time // this host does not compete until then, after a term
	lateUntil   time.Time // calls of an ended term of this host may be carried out until then, zero before the first look
	tryAt       time.Time // of the next attempt to take or to release the duty
	endedAt     ident.Revision
	stopping    bool
	term        *term
}

// NewDuty returns the Duty of a host that does not hold it.
func NewDuty(s Settings) *Duty {
	if s.TokenOf == nil {
		s.TokenOf = tokenOf
	}
	return &Duty{settings: s}
}

// Holds reports whether this host holds the duty.
func (d *Duty) Holds(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term != nil && !d.leaseEnds(now, d.facts.Lease)
}

// Stop ends the term of this host, which takes the duty no more.
func (d *Duty) Stop(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopping = true
	d.end(now, EndStopping)
}

// Next returns the next call to make, given what the host knows.
func (d *Duty) Next(now time.Time, f Facts) Action {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.facts = f
	d.observe(now)
	d.checkTerm(now)
	if d.term == nil {
		return d.idleAction(now)
	}
	return d.termAction(now)
}

// observe notes the era of the store and since when nobody holds the duty.
func (d *Duty) observe(now time.Time) {
	f := &d.facts
	if f.Revision != 0 && (d.eraSeenAt.IsZero() || f.Revision.Era() > d.era) {
		d.era, d.eraSeenAt = f.Revision.Era(), now
	}
	switch {
	case f.Key.Revision != 0 || f.Revision == 0:
		d.absentSince = time.Time{}
	case d.absentSince.IsZero():
		d.absentSince = now
	}
	d.awaitQuiet(now)
}

// awaitQuiet keeps this host from competing until the lease time after another host was last seen to hold the duty, as long as
// calls of an ended term of this host, or of the process before, may still be carried out. The platform accepts them up to the
// first call of the other host.
func (d *Duty) awaitQuiet(now time.Time) {
	if d.lateUntil.IsZero() {
		d.lateUntil = now.Add(lateCallTime)
	}
	key := &d.facts.Key
	if key.Revision == 0 || key.Host == d.settings.Host || reachedByBoth(now, d.lateUntil) {
		return
	}
	if until := now.Add(d.settings.LeaseTime + quietMargin); until.After(d.quietUntil) {
		d.quietUntil = until
	}
}

// leaseEnds reports whether the lease may have ended, or is about to.
func (d *Duty) leaseEnds(now time.Time, l Lease) bool {
	return l.ID == 0 || Reached(now, l.Until.Add(-leaseMargin))
}

// checkTerm ends the term if this host must not go on.
func (d *Duty) checkTerm(now time.Time) {
	f, t := &d.facts, d.term
	switch {
	case t == nil:
	case f.Lease.ID != t.lease || d.leaseEnds(now, f.Lease):
		d.end(now, EndLease)
	case f.Revision.Era() > t.revision.Era():
		d.end(now, EndRestored)
	case f.Revision >= t.revision && f.Key.Revision != t.revision:
		d.end(now, EndKey)
	case d.unreached(now):
		d.end(now, EndUnreached)
	}
}

// unreached reports whether the holder has not been among the hosts that compete for the duty for more than unreachedTime.
// Other hosts then cannot send it their counts.
func (d *Duty) unreached(now time.Time) bool {
	if d.facts.Rank >= 0 {
		d.term.rankedAt = now
	}
	return now.Sub(d.term.rankedAt) > unreachedTime
}

func (d *Duty) end(now time.Time, reason EndReason) {
	if d.term == nil {
		return
	}
	token := d.term.token
	d.endedAt = max(d.endedAt, d.term.revision)
	d.quietUntil = now.Add(d.settings.LeaseTime + quietMargin)
	d.lateUntil = now.Add(lateCallTime)
	d.term = nil
	d.settings.OnEnd(token, reason)
}

// mayBegin reports whether a term of this host may begin: no other holder, nor an earlier term of this host, can still act or
// has acted within the lease time.
func (d *Duty) mayBegin(now time.Time) bool {
	f := &d.facts
	settledAt := d.eraSeenAt.Add(d.settings.LeaseTime + quietMargin)
	return !d.stopping && f.Rank >= 0 && f.Fresh && !d.eraSeenAt.IsZero() && f.Revision.Era() == d.era &&
		reachedByBoth(now, settledAt) && reachedByBoth(now, d.quietUntil) && !d.leaseEnds(now.Add(minLeaseLeft), f.Lease)
}

// idleAction returns the next call of a host that does not hold the duty.
func (d *Duty) idleAction(now time.Time) Action {
	f := &d.facts
	own := f.Key.Revision != 0 && f.Key.Host == d.settings.Host && f.Key.Incarnation == d.settings.Incarnation
	switch {
	case own && f.Key.Revision > d.endedAt && f.Key.Lease == f.Lease.ID && d.mayBegin(now):
		// The answer to the write of the key was lost.
		d.begin(now, f.Key.Revision, f.Lease.ID)
		return d.termAction(now)
	case now.Before(d.tryAt):
		return Action{}
	case own:
		d.tryAt = now.Add(retryDelay)
		return Action{Kind: Release, KeyRevision: f.Key.Revision}
	case f.Key.Revision != 0 || d.absentSince.IsZero() || !d.mayBegin(now):
		return Action{}
	case now.Sub(d.absentSince) < time.Duration(f.Rank)*rankDelay:
		return Action{}
	}
	d.tryAt = now.Add(retryDelay)
	return Action{Kind: Take, Lease: f.Lease.ID, Until: f.Lease.Until.Add(-leaseMargin)}
}

func (d *Duty) begin(now time.Time, revision ident.Revision, lease int64) {
	token := d.settings.TokenOf(revision)
	d.term = newTerm(now, d.settings.Schedule, revision, token, lease, d.eraSeenAt, d.facts)
	d.settings.OnBegin(token)
	if first, count := missedBefore(now, d.settings.Schedule, d.facts.Record); count > 0 {
		d.settings.OnMissed(first, count)
	}
}

// termAction returns the next call of the holder.
func (d *Duty) termAction(now time.Time) Action {
	t := d.term
	for _, w := range t.dropPastDue(now, d.settings.Schedule) {
		d.settings.OnMissed(w, 1)
	}
	a := Action{KeyRevision: t.revision, Token: t.token, Until: d.facts.Lease.Until.Add(-leaseMargin)}
	if d.prepareFix(now) {
		t.fixAt = now.Add(fixRetryDelay)
		a.Kind, a.RecordRevision, a.Record = Fix, t.recordRevision, *t.fixing
		return a
	}
	if p := t.nextSend(now); p != nil {
		p.tryAt = now.Add(sendRetryDelay)
		a.Kind, a.Report = Send, p.Fixed
		return a
	}
	return Action{}
}

// prepareFix reports whether a record is to be written now. A record whose write got no answer is written again unchanged.
func (d *Duty) prepareFix(now time.Time) bool {
	t, s := d.term, d.settings.Schedule
	if t.fixing != nil {
		return !now.Before(t.fixAt)
	}
	record := Record{Term: t.revision, Last: t.last}
	for _, p := range t.pending {
		record.Pending = append(record.Pending, p.Fixed)
	}
	for w := t.last + 1; !now.Before(s.closeAt(w)); w++ {
		if s.Due(w).Sub(now) <= sendTime {
			t.last, record.Last = w, w
			d.settings.OnMissed(w, 1)
			continue
		}
		forced := !now.Before(s.forceAt(w)) && now.Sub(t.since) >= gatherTime
		if !forced && !d.settings.Complete(w) {
			break
		}
		record.Last = w
		record.Pending = append(record.Pending, Fixed{Window: w, Body: d.settings.Body(w)})
	}
	if record.Last == t.last {
		return false
	}
	t.fixing = &record
	return true
}

// Done passes on the result of an action.
func (d *Duty) Done(now time.Time, a Action, r Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.term
	switch {
	case a.Kind == Take:
		d.taken(now, a, r)
	case t == nil || t.revision != a.KeyRevision:
	case a.Kind == Send && r.Outcome == Refused:
		d.end(now, EndRefused)
	case a.Kind == Send:
		t.sent(now, a.Report.Window, r.Outcome == Done)
	case a.Kind == Fix && t.fixing != nil:
		d.fixDone(now, r)
	}
}

// taken begins a term after the duty key was written. A term does not begin in an era that this host's copy has not reached:
// the holder of the era before may still act.
func (d *Duty) taken(now time.Time, a Action, r Result) {
	if r.Outcome != Done || d.term != nil {
		return
	}
	if r.Revision.Era() != d.era || d.stopping || a.Lease != d.facts.Lease.ID || d.leaseEnds(now, d.facts.Lease) {
		d.endedAt = max(d.endedAt, r.Revision)
		d.quietUntil = now.Add(d.settings.LeaseTime + quietMargin)
		return
	}
	d.begin(now, r.Revision, a.Lease)
}

// fixDone handles the result of the write of a record. In a conflict the store holds either the record, from an earlier
// attempt without an answer, or a later one than this host knew.
func (d *Duty) fixDone(now time.Time, r Result) {
	t := d.term
	switch {
	case r.Outcome == Done:
		t.fixed(r.Revision)
	case r.Outcome != Conflict:
	case r.KeyRevision != t.revision:
		d.end(now, EndKey)
	case r.Record.equal(*t.fixing):
		t.fixed(r.RecordRevision)
	default:
		t.fixing = nil
		t.absorb(now, d.settings.Schedule, r.Record, r.RecordRevision)
	}
}
