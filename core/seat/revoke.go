package seat

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// maxVoters limits the number of voters, so that a host needs few acknowledgements however large the fleet is.
const maxVoters = 15

// Timing holds the durations that the serving lease and its revocation depend on.
type Timing struct {
	IsolationLimit time.Duration // how long a host may serve after its last contact with the store or a majority
	ClockDrift     time.Duration // how far two clocks may diverge within IsolationLimit
}

// Observation is the last renewal of a host that the controller has read.
type Observation struct {
	Renewal   wire.Renewal
	ChangedAt time.Time // time on the controller's clock when the renewal last changed
}

// Reconciler observes the hosts' renewals for the controller and computes the changes of the seat table that are due.
type Reconciler struct {
	timing         Timing
	renewalTimeout time.Duration
	observed       map[ident.Host]Observation
	confirmedAt    map[ident.Host]time.Time // by marked host: when all unmarked seats had confirmed its mark
	marks          map[ident.Host]int       // by host: the mark of its seat when confirmations were last recorded
	seatCount      int                      // number of seats at the last call of Next
	seatCountSince time.Time                // time of the last change of seatCount
}

// NewReconciler returns a reconciler that marks a host when its renewal has not changed for longer than renewalTimeout.
func NewReconciler(timing Timing, renewalTimeout time.Duration) *Reconciler {
	return &Reconciler{
		timing: timing, renewalTimeout: renewalTimeout, observed: map[ident.Host]Observation{},
		confirmedAt: map[ident.Host]time.Time{}, marks: map[ident.Host]int{},
	}
}

// Observe records the renewals as read from the store at the given time.
func (rc *Reconciler) Observe(now time.Time, renewals []wire.Renewal) {
	for _, r := range renewals {
		host := ident.Host(r.Host)
		old, ok := rc.observed[host]
		if ok && old.Renewal.Incarnation == r.Incarnation && old.Renewal.Round == r.Round {
			continue
		}
		rc.observed[host] = Observation{Renewal: r, ChangedAt: now}
	}
}

// Next returns the table with the next change that is due, or false when none is. It makes one change per call.
func (rc *Reconciler) Next(now time.Time, t wire.SeatTable) (wire.SeatTable, bool) {
	rc.trackSeatCount(now, t)
	for _, s := range t.Seats {
		host := ident.Host(s.Host)
		if s.Mark == 0 && rc.renewalTimedOut(now, s) {
			return Mark(t, host), true
		}
	}
	rc.recordConfirmations(now, t)
	for _, s := range t.Seats {
		if s.Mark > 0 && rc.canRevoke(now, t, s) {
			return Revoke(now, t, ident.Host(s.Host)), true
		}
	}
	if next, ok := rc.promoteVoters(now, t); ok {
		return next, true
	}
	if next, ok := rc.addKeepers(now, t); ok {
		return next, true
	}
	return assignPartitions(t)
}

// trackSeatCount records when the number of seats last changed.
func (rc *Reconciler) trackSeatCount(now time.Time, t wire.SeatTable) {
	if len(t.Seats) != rc.seatCount {
		rc.seatCount = len(t.Seats)
		rc.seatCountSince = now
	}
}

// LastRenewal returns the last observed renewal of the host. Writing it again together with the mark makes the host's
// next renewal fail, as the renewal key has changed.
func (rc *Reconciler) LastRenewal(host ident.Host) wire.Renewal { return rc.observed[host].Renewal }

func (rc *Reconciler) renewalTimedOut(now time.Time, s wire.Seat) bool {
	host := ident.Host(s.Host)
	o, ok := rc.observed[host]
	if !ok || o.Renewal.Incarnation != s.Incarnation {
		o = Observation{Renewal: wire.Renewal{Host: s.Host, Incarnation: s.Incarnation}, ChangedAt: now}
		rc.observed[host] = o
	}
	return now.Sub(o.ChangedAt) > rc.renewalTimeout
}

// recordConfirmations records when all unmarked seats have confirmed a mark. A seat confirms it with a renewal that
// carries the mark's generation or a later one, which is the table generation it had seen when it sent the renewal; a
// host never replaces its table by an older one.
func (rc *Reconciler) recordConfirmations(now time.Time, t wire.SeatTable) {
	for _, s := range t.Seats {
		host := ident.Host(s.Host)
		if s.Mark == 0 || rc.marks[host] != s.Mark {
			delete(rc.confirmedAt, host)
		}
		rc.marks[host] = s.Mark
		if s.Mark == 0 || !rc.allSeatsSaw(t, s.Mark) {
			continue
		}
		if _, ok := rc.confirmedAt[host]; !ok {
			rc.confirmedAt[host] = now
		}
	}
}

// allSeatsSaw reports whether every unmarked seat has renewed with the given table generation or a later one.
func (rc *Reconciler) allSeatsSaw(t wire.SeatTable, generation int) bool {
	for _, s := range t.Seats {
		if s.Mark > 0 {
			continue
		}
		o, ok := rc.observed[ident.Host(s.Host)]
		if !ok || o.Renewal.Incarnation != s.Incarnation || o.Renewal.Generation < generation {
			return false
		}
	}
	return true
}

// canRevoke reports whether the marked seat can no longer be serving: IsolationLimit and ClockDrift have passed since
// its mark was confirmed, and the hosts that have not confirmed it cannot form a majority.
func (rc *Reconciler) canRevoke(now time.Time, t wire.SeatTable, s wire.Seat) bool {
	confirmedAt, ok := rc.confirmedAt[ident.Host(s.Host)]
	if !ok || now.Before(confirmedAt.Add(rc.timing.IsolationLimit+rc.timing.ClockDrift)) {
		return false
	}
	return !rc.couldFormMajority(t, s)
}

// couldFormMajority reports whether the hosts that have not confirmed the mark might still form a majority in some
// table that the marked host uses: the present one, or one from before removals or a promotion that it has not seen.
func (rc *Reconciler) couldFormMajority(t wire.SeatTable, s wire.Seat) bool {
	lastGeneration := rc.observed[ident.Host(s.Host)].Renewal.Generation
	unconfirmed := 0
	for _, other := range t.Seats {
		if other.Mark > 0 && other.Voter {
			unconfirmed++
		}
	}
	voterCounts := []int{Voters(t)}
	for _, r := range t.Removals {
		if r.Generation > lastGeneration {
			unconfirmed++
			voterCounts = append(voterCounts, r.Voters)
		}
	}
	if t.Promoted > lastGeneration {
		voterCounts = append(voterCounts, t.VotersBefore)
	}
	return slices.ContainsFunc(voterCounts, func(voters int) bool { return voters > 0 && unconfirmed >= Majority(voters) })
}

// promoteVoters makes one more seat a voter once every seat has seen the last change of the voters, so that two tables
// in use at the same time differ by at most one voter and their majorities intersect. While there is no voter, no host
// can rely on a majority, so up to maxVoters seats become voters together once the number of seats has been unchanged
// for formationDelay.
func (rc *Reconciler) promoteVoters(now time.Time, t wire.SeatTable) (wire.SeatTable, bool) {
	var candidates []int
	for i, s := range t.Seats {
		if s.Mark > 0 {
			return t, false
		}
		if !s.Voter {
			candidates = append(candidates, i)
		}
	}
	initial := Voters(t) == 0
	voterSlots := maxVoters - Voters(t)
	if len(candidates) == 0 || voterSlots <= 0 || (initial && now.Sub(rc.seatCountSince) < formationDelay) {
		return t, false
	}
	if !initial {
		voterSlots = 1
	}
	candidates = selectAcrossZones(t, candidates, voterSlots)
	if !initial && !rc.allSeatsSaw(t, max(t.Promoted, lastRemovalGeneration(t))) {
		return t, false
	}
	next := nextGeneration(t)
	for _, i := range candidates {
		next.Seats[i].Voter = true
	}
	next.Promoted = next.Generation
	next.VotersBefore = Voters(t)
	next.Removals = []wire.Removal{}
	return next, true
}

// selectAcrossZones returns up to n of the candidates, from the availability zones with the fewest voters first.
func selectAcrossZones(t wire.SeatTable, candidates []int, n int) []int {
	voters := map[string]int{}
	for _, s := range t.Seats {
		if s.Voter {
			voters[s.AvailabilityZone]++
		}
	}
	var chosen []int
	for len(chosen) < n && len(candidates) > 0 {
		best := 0
		for i, c := range candidates {
			if voters[t.Seats[c].AvailabilityZone] < voters[t.Seats[candidates[best]].AvailabilityZone] {
				best = i
			}
		}
		chosen = append(chosen, candidates[best])
		voters[t.Seats[candidates[best]].AvailabilityZone]++
		candidates = slices.Delete(candidates, best, best+1)
	}
	return chosen
}

func lastRemovalGeneration(t wire.SeatTable) int {
	if len(t.Removals) == 0 {
		return 0
	}
	return t.Removals[len(t.Removals)-1].Generation
}
