package pace

import (
	"log/slog"
	"math"
)

// Summary counts the servers that differ from the usual.
type Summary struct {
	Slow     int // servers with at least slowFrom times the usual run time
	Limited  int // servers with a limit below their slots
	Reported int // servers of which peers have told something that still counts
}

// slowFrom is the ratio of run times from which a server counts as slow in a Summary.
const slowFrom = 1.5

// Summary returns how many servers differ from the usual now.
func (b *Book) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum Summary
	for _, s := range b.servers {
		if s.estimate.Slowdown(1) >= slowFrom {
			sum.Slow++
		}
		if s.estimate.Limit > 0 {
			sum.Limited++
		}
		if s.others.load.weight >= minWeight {
			sum.Reported++
		}
	}
	return sum
}

// Log logs the server that differs most, and how many do. It logs nothing if none is slow or limited.
func (b *Book) Log(log *slog.Logger) {
	sum := b.Summary()
	if sum.Slow == 0 && sum.Limited == 0 {
		return
	}
	id, e := b.extreme()
	log.Info("pace of backend servers", "slow", sum.Slow, "limited", sum.Limited, "reported", sum.Reported, "most", string(id.ID),
		"slowdown", round(e.Slowdown(1)), "limit", round(e.Limit), "load", round(e.Load))
}

// extreme returns the server that differs most.
func (b *Book) extreme() (Server, Estimate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var most Server
	highest := -1.0
	for id, s := range b.servers {
		if d := s.deviation(tallies{}); d > highest || d == highest && compareServers(id, most) < 0 {
			most, highest = id, d
		}
	}
	if s := b.servers[most]; s != nil {
		return most, s.estimate
	}
	return most, Estimate{}
}

func round(x float64) float64 { return math.Round(100*x) / 100 }
