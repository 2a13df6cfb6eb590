package limit

import (
	"time"
)

// ready returns the state of a server with a limit, nil for one without, and how long it takes until a request may be sent.
func (l *Limiter) ready(now time.Time, server Server) (*state, time.Duration) {
	s := l.servers[server.process()]
	if s == nil || s.rate == 0 {
		return nil, 0
	}
	part := l.part(now, server, s)
	s.refill(now, part)
	if part > 0 && s.tokens >= 1 {
		return s, 0
	}
	missing := time.Duration((1 - s.tokens) / float64(max(part, trialPart*s.rate)) * float64(time.Second))
	return s, min(max(missing, minWait), maxWait)
}

// part returns the part of the limit, in requests per second, that this host may use now.
func (l *Limiter) part(now time.Time, server Server, s *state) Rate {
	l.pruneViews(now)
	if s.version != l.version {
		s.version = l.version
		s.count, s.isSender = l.senders(server, s.rate)
	}
	switch {
	case s.isSender:
		return s.rate * l.used(now) / Rate(s.count)
	case s.isSilent(now):
		s.startTrials()
		return s.rate * trialPart / Rate(max(1, len(l.views.current().hosts)))
	default:
		return 0
	}
}

// senders returns how many hosts send to the server, and whether this host is and has been one of them in all views that
// count.
func (l *Limiter) senders(server Server, rate Rate) (count int, isSender bool) {
	isSender = true
	for _, v := range l.views {
		var inView bool
		count, inView = v.senders(l.self, server, rate)
		isSender = isSender && inView
	}
	return count, isSender
}

// used returns the part of a limit that the senders together use.
func (l *Limiter) used(now time.Time) Rate {
	if now.Sub(l.views.current().since) < unsettledTime {
		return unsettledPart
	}
	return usedPart
}
