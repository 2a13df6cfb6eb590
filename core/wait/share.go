package wait

import (
	"math"
	"time"
)

// shareTimeConstant is the time constant of the counts. At a few requests a second of each kind, a shorter one would leave too
// few of them to compare.
const shareTimeConstant = 10 * time.Second

// share holds the recent requests of a kind or a team, as exponentially decayed counts.
type share struct {
	served  float64 // in time, of a kind; sent to a server, of a team or of all requests
	late    float64
	refused float64
	at      time.Time // when the counts were last decayed
	seenAt  time.Time // when the last request arrived
}

func (s *share) decay(now time.Time) {
	elapsed := now.Sub(s.at)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(shareTimeConstant))
	s.served *= factor
	s.late *= factor
	s.refused *= factor
	s.at = now
}

func (s *share) record(now time.Time, served bool) {
	s.decay(now)
	if served {
		s.served++
		return
	}
	s.refused++
}

func (s *share) ended() float64 { return s.served + s.late + s.refused }

// minEnded is the count of requests from which their results are used.
const minEnded = 1.0
