package limit

import "time"

// state is what this host knows of the limit of one server process.
type state struct {
	rate      Rate      // zero if there is no limit
	learnedAt time.Time // of the last answer or report about the limit
	own       observation
	tokens    float64 // requests that this host may send now
	tokensAt  time.Time
	phase     float64 // random number in [0, 1) that spreads the hosts' trials
	trying    bool    // the host tries now and then, although others are to send

	// Who sends to the server, as of a version of the views.
	version  int
	count    int
	isSender bool
}

// name records that the server names a limit, and reports whether it is another one.
func (s *state) name(now time.Time, rate Rate, random func() float64) bool {
	changed := s.rate != rate
	if s.rate == 0 {
		s.tokens, s.tokensAt, s.phase = 0, now, random()
	}
	if s.trying {
		s.trying, s.tokens = false, 0
	}
	if changed {
		s.rate, s.version = rate, 0
	}
	s.learnedAt = now
	return changed
}

// lift records that the server names no limit any more.
func (s *state) lift(now time.Time) { s.rate, s.learnedAt, s.trying = 0, now, false }

// isSilent reports whether no host has told of an answer for so long that none may be sending.
func (s *state) isSilent(now time.Time) bool {
	return now.Sub(s.learnedAt) >= interval(silentTime, s.rate)
}

// startTrials lets the host's trials begin at a time that differs from that of other hosts.
func (s *state) startTrials() {
	if !s.trying {
		s.trying, s.tokens = true, s.phase
	}
}

// refill adds the tokens of the time since the last refill, at the rate that holds now.
func (s *state) refill(now time.Time, rate Rate) {
	size := max(1, float64(rate)*burstTime.Seconds())
	s.tokens = min(size, s.tokens+float64(rate)*now.Sub(s.tokensAt).Seconds())
	s.tokensAt = now
}
