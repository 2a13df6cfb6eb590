package seat

import (
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// maxVoters bounds the voters, so that a host needs few acknowledgements however large the fleet is.
const maxVoters = 15

// Terms are the times that the serving lease and its revocation go by.
type Terms struct {
	Isolation time.Duration // how long a host may serve after its last proof of contact
	Drift     time.Duration // how far two clocks may part within the isolation time
}

// Observation is what the controller saw of one seat's renewals.
type Observation struct {
	Renewal wire.Renewal
	Changed time.Time // controller's time at which the renewal last changed
}

// Watcher follows the renewals on behalf of the controller.
type Watcher struct {
	terms     Terms
	silence   time.Duration
	seen      map[ident.Host]Observation
	confirmed map[ident.Host]time.Time // marked host: time at which every other seat had confirmed the mark
	marks     map[ident.Host]int
	seats     int       // at the last look
	steady    time.Time // since when that number has stood
}

// NewWatcher returns a watcher that marks hosts after so much silence.
func NewWatcher(terms Terms, silence time.Duration) *Watcher {
	return &Watcher{
		terms: terms, silence: silence, seen: map[ident.Host]Observation{},
		confirmed: map[ident.Host]time.Time{}, marks: map[ident.Host]int{},
	}
}

// Observe takes in the renewals as they stand in the store.
func (w *Watcher) Observe(now time.Time, renewals []wire.Renewal) {
	for _, r := range renewals {
		host := ident.Host(r.Host)
		old, ok := w.seen[host]
		if ok && old.Renewal.Incarnation == r.Incarnation && old.Renewal.Round == r.Round {
			continue
		}
		w.seen[host] = Observation{Renewal: r, Changed: now}
	}
}

// Next returns the table after the one change that is due now, and false when none is.
func (w *Watcher) Next(now time.Time, t wire.SeatTable) (wire.SeatTable, bool) {
	w.countSeats(now, t)
	for _, s := range t.Seats {
		host := ident.Host(s.Host)
		if s.Mark == 0 && w.silent(now, s) {
			return Mark(t, host), true
		}
	}
	w.confirm(now, t)
	for _, s := range t.Seats {
		if s.Mark > 0 && w.mayRevoke(now, t, s) {
			return Revoke(now, t, ident.Host(s.Host)), true
		}
	}
	if next, ok := w.promote(now, t); ok {
		return next, true
	}
	if next, ok := w.enroll(now, t); ok {
		return next, true
	}
	return assign(t)
}

// countSeats notes since when the number of seats has stood.
func (w *Watcher) countSeats(now time.Time, t wire.SeatTable) {
	if len(t.Seats) != w.seats {
		w.seats = len(t.Seats)
		w.steady = now
	}
}

// Last returns the renewal of the host that was seen last. Written again with a mark, it makes the host's next one fail.
func (w *Watcher) Last(host ident.Host) wire.Renewal { return w.seen[host].Renewal }

func (w *Watcher) silent(now time.Time, s wire.Seat) bool {
	host := ident.Host(s.Host)
	o, ok := w.seen[host]
	if !ok || o.Renewal.Incarnation != s.Incarnation {
		o = Observation{Renewal: wire.Renewal{Host: s.Host, Incarnation: s.Incarnation}, Changed: now}
		w.seen[host] = o
	}
	return now.Sub(o.Changed) > w.silence
}

// confirm notes when every unmarked seat has shown that it saw a mark: its renewal states the generation
// that it had seen when it sent it, and a host never goes back to an older table.
func (w *Watcher) confirm(now time.Time, t wire.SeatTable) {
	for _, s := range t.Seats {
		host := ident.Host(s.Host)
		if s.Mark == 0 || w.marks[host] != s.Mark {
			delete(w.confirmed, host)
		}
		w.marks[host] = s.Mark
		if s.Mark == 0 || !w.allSaw(t, s.Mark) {
			continue
		}
		if _, ok := w.confirmed[host]; !ok {
			w.confirmed[host] = now
		}
	}
}

// allSaw tells whether every unmarked seat has renewed with that table generation or a later one.
func (w *Watcher) allSaw(t wire.SeatTable, generation int) bool {
	for _, s := range t.Seats {
		if s.Mark > 0 {
			continue
		}
		o, ok := w.seen[ident.Host(s.Host)]
		if !ok || o.Renewal.Incarnation != s.Incarnation || o.Renewal.Generation < generation {
			return false
		}
	}
	return true
}

func (w *Watcher) mayRevoke(now time.Time, t wire.SeatTable, s wire.Seat) bool {
	since, ok := w.confirmed[ident.Host(s.Host)]
	if !ok || now.Before(since.Add(w.terms.Isolation+w.terms.Drift)) {
		return false
	}
	return !w.couldBeMajority(t, s)
}

// couldBeMajority tells whether the hosts that have not confirmed the mark might still be a majority
// in some table that the marked host holds: the present one, or one from before removals or a promotion that it has not seen.
func (w *Watcher) couldBeMajority(t wire.SeatTable, s wire.Seat) bool {
	known := w.seen[ident.Host(s.Host)].Renewal.Generation
	silent := 0
	for _, other := range t.Seats {
		if other.Mark > 0 && other.Voter {
			silent++
		}
	}
	views := []int{Voters(t)}
	for _, r := range t.Removals {
		if r.Generation > known {
			silent++
			views = append(views, r.Voters)
		}
	}
	if t.Promoted > known {
		views = append(views, t.VotersBefore)
	}
	return slices.ContainsFunc(views, func(voters int) bool { return voters > 0 && silent >= Majority(voters) })
}

// promote makes one more seat a voter once every seat has seen the present table, so that two tables
// in use at the same time differ by one voter at most and their majorities meet. While there is no voter at all,
// no host can rely on a majority, and all seats become voters together once the fleet has formed.
func (w *Watcher) promote(now time.Time, t wire.SeatTable) (wire.SeatTable, bool) {
	var candidates []int
	for i, s := range t.Seats {
		if s.Mark > 0 {
			return t, false
		}
		if !s.Voter {
			candidates = append(candidates, i)
		}
	}
	first := Voters(t) == 0
	free := maxVoters - Voters(t)
	if len(candidates) == 0 || free <= 0 || (first && now.Sub(w.steady) < formTime) {
		return t, false
	}
	if !first {
		free = 1
	}
	candidates = spread(t, candidates, free)
	if !first && !w.allSaw(t, max(t.Promoted, lastRemoval(t))) {
		return t, false
	}
	next := clone(t)
	for _, i := range candidates {
		next.Seats[i].Voter = true
	}
	next.Promoted = next.Generation
	next.VotersBefore = Voters(t)
	next.Removals = []wire.Removal{}
	return next, true
}

// spread returns so many of the candidates, from the availability zones with the fewest voters first.
func spread(t wire.SeatTable, candidates []int, n int) []int {
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

func lastRemoval(t wire.SeatTable) int {
	if len(t.Removals) == 0 {
		return 0
	}
	return t.Removals[len(t.Removals)-1].Generation
}
