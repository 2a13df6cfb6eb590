package canary

import (
	"cmp"
	"slices"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// Sum adds up the outcomes that several hosts report, so that a relay passes on one report in place of many.
type Sum struct{ tallies map[SeriesKey]Tally }

// NewSum returns an empty sum.
func NewSum() *Sum { return &Sum{tallies: map[SeriesKey]Tally{}} }

// Empty reports whether nothing was added.
func (s *Sum) Empty() bool { return len(s.tallies) == 0 }

// Add adds the outcomes that a host reports.
func (s *Sum) Add(list []wire.Evidence) {
	for _, w := range list {
		key, reported := fromWire(w)
		t := s.tallies[key]
		t.add(reported)
		s.tallies[key] = t
	}
}

// Without returns the outcomes less those of a part, which may be nil. Routes of which nothing is left are omitted.
func (s *Sum) Without(part *Sum) []wire.Evidence {
	list := make([]wire.Evidence, 0, len(s.tallies))
	for key, t := range s.tallies {
		if part != nil {
			t.subtract(part.tallies[key])
		}
		if t.Requests > 0 || t.Started > 0 || t.Ended > 0 {
			list = append(list, toWire(key, t))
		}
	}
	slices.SortFunc(list, func(a, b wire.Evidence) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Route, b.Route))
	})
	return list
}

func fromWire(w wire.Evidence) (SeriesKey, Tally) {
	key := SeriesKey{Service: ident.Service(w.Service), Version: ident.Version(w.Version), Route: w.Route}
	t := Tally{Requests: float64(w.Requests), Failures: float64(w.Failures), LatencySum: w.LatencyMs}
	t.Lost, t.Started, t.Ended = fromCount(w.Lost), fromCount(w.Started), fromCount(w.Ended)
	return key, t
}

// fromCount returns an optional count, which earlier builds do not send.
func fromCount(n *int) float64 {
	if n == nil {
		return 0
	}
	return float64(*n)
}

func toCount(n float64) *int {
	count := int(n)
	if count <= 0 {
		return nil
	}
	return &count
}

func toWire(key SeriesKey, t Tally) wire.Evidence {
	return wire.Evidence{
		Service: string(key.Service), Version: string(key.Version), Route: key.Route,
		Requests: int(t.Requests), Failures: int(t.Failures), LatencyMs: t.LatencySum,
		Lost: toCount(t.Lost), Started: toCount(t.Started), Ended: toCount(t.Ended),
	}
}
