package wait

import (
	"slices"
	"time"

	"jayshift/core/ident"
)

const (
	maxTeams = 256 // teams whose requests are counted
	// shareSlack is the number of recent requests by which a team may be beyond the fair level: counts of single requests differ by
	// chance.
	shareSlack = 1.5
)

// teams counts the requests of each team and finds those that get more than their max-min fair share.
type teams struct {
	byName  map[ident.Team]*share
	level   float64   // count of served requests up to which a team is within its share
	levelAt time.Time // when level was computed
}

// levelAge is the time for which the fair level is used.
const levelAge = 200 * time.Millisecond

func newTeams() teams { return teams{byName: map[ident.Team]*share{}} }

func (t *teams) record(now time.Time, name ident.Team, served bool) {
	s := t.byName[name]
	if s == nil {
		if len(t.byName) >= maxTeams {
			t.drop(now)
		}
		s = &share{at: now}
		t.byName[name] = s
	}
	s.record(now, served)
}

// drop removes the team with the fewest recent requests.
func (t *teams) drop(now time.Time) {
	var least ident.Team
	found := false
	for name, s := range t.byName {
		s.decay(now)
		if !found || s.ended() < t.byName[least].ended() {
			least, found = name, true
		}
	}
	delete(t.byName, least)
}

// beyond reports whether the team was served more than its max-min fair share while others were refused.
func (t *teams) beyond(now time.Time, name ident.Team) bool {
	s := t.byName[name]
	if s == nil {
		return false
	}
	if now.Sub(t.levelAt) >= levelAge {
		t.level, t.levelAt = t.fairLevel(now), now
	}
	s.decay(now)
	return s.served > t.level+shareSlack
}

// fairLevel returns the count up to which each team's demand can be served if the requests that were served are divided by
// max-min fairness.
func (t *teams) fairLevel(now time.Time) float64 {
	demands := make([]float64, 0, len(t.byName))
	left := 0.0
	for _, s := range t.byName {
		s.decay(now)
		demands = append(demands, s.ended())
		left += s.served
	}
	slices.Sort(demands)
	for i, demand := range demands {
		level := left / float64(len(demands)-i)
		if demand >= level {
			return level
		}
		left -= demand
	}
	if len(demands) == 0 {
		return 0
	}
	return demands[len(demands)-1]
}
