package limit

import (
	"cmp"
	"slices"
	"time"

	"jayshift/core/ident"
)

// Report is what a host has seen of a server's limit itself.
type Report struct {
	Server ident.BackendServer
	Start  int64 // start of the server's process, Unix milliseconds
	Rate   Rate  // zero if the server names no limit any more
	Number int   // rises with each answer that the report stands for
}

// observation is what this host has seen itself, as it tells its peers.
type observation struct {
	rate     Rate // zero if the server has stopped naming a limit
	number   int
	at       time.Time // of the last answer
	numberAt time.Time // when number last rose
}

// reported says which of a host's reports was last acted on.
type reported struct {
	host   ident.Host
	server process
}

// isFresh reports whether the observation is to be told to the peers.
func (o observation) isFresh(now time.Time) bool {
	return o.number > 0 && now.Sub(o.at) < interval(reportTime, o.rate)
}

// interval returns the time, or longer for a server that gets so few requests that its answers come more rarely.
func interval(base time.Duration, rate Rate) time.Duration {
	if rate <= 0 {
		return base
	}
	return base + time.Duration(missedAnswers/float64(rate)*float64(time.Second))
}

// Reports returns what this host has seen itself of late, ordered by server.
func (l *Limiter) Reports(now time.Time) []Report {
	if l.limited.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []Report
	for p, s := range l.servers {
		if s.own.isFresh(now) {
			list = append(list, Report{Server: p.id, Start: p.start, Rate: s.own.rate, Number: s.own.number})
		}
	}
	slices.SortFunc(list, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.Start, b.Start))
	})
	return list
}

// RecordReports records what a peer has seen. A report counts when it comes with a new number.
func (l *Limiter) RecordReports(now time.Time, from ident.Host, reports []Report) {
	if len(reports) == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range reports {
		p := process{r.Server, r.Start}
		source := reported{from, p}
		if l.seen[source] == r.Number {
			continue
		}
		l.seen[source] = r.Number
		l.learn(now, p, r.Rate, from)
	}
}

// learn applies a peer's report. That a server names no limit any more counts only if this host has not just seen otherwise.
func (l *Limiter) learn(now time.Time, p process, rate Rate, from ident.Host) {
	s := l.servers[p]
	switch {
	case rate > 0:
		l.name(now, p, min(max(rate, minRate), maxRate), from)
	case s != nil && s.own.rate > 0 && now.Sub(s.own.at) < namedTime:
		return
	case s != nil && s.rate > 0:
		l.lift(now, p, s, from)
		s.own = observation{}
	}
}
