package trial

import (
	"fmt"
	"math"
)

const (
	leastFailures  = 4    // failures before a verdict
	allowance      = 0.01 // failure rate granted above the old version's
	deviations     = 4.0  // standard deviations that a difference must exceed
	leastTimed     = 20   // requests of each version before latencies are compared
	leastSpread    = 3.0  // slots over which the new version's requests must be spread, for the same
	slowFactor     = 1.5  // times the old version's mean latency
	slowMargin     = 2.0  // milliseconds above it
	priorRequests  = 5.0  // requests of the old version's overall mean that fill up each of its slots
	overallRoute   = "all routes"
	leastJudgement = 20 // requests after which a version without any failure counts as judged
	fullJudgement  = 40 // requests after which one does with fewer failures than a verdict takes
)

// Judge compares a new version's outcomes with the old one's, overall and route by route. The series are turned to the
// same moment. It returns why the new version is bad, or an empty string.
func Judge(before, after map[string]Series) string {
	if reason := judgeOne(overallRoute, total(before), total(after)); reason != "" {
		return reason
	}
	for route, s := range after {
		if reason := judgeOne(route, before[route], s); reason != "" {
			return reason
		}
	}
	return ""
}

func total(routes map[string]Series) Series {
	var sum Series
	for _, s := range routes {
		sum.merge(s)
	}
	return sum
}

func judgeOne(route string, before, after Series) string {
	p := pair(before, after)
	if p.failing() {
		return fmt.Sprintf("%s: %.0f of %.0f requests failed, %.1f%% of the old version's at the same time",
			route, p.after.Failures, p.after.Requests, 100*p.rate)
	}
	if p.slow() {
		return fmt.Sprintf("%s: mean latency %.1f ms, the old version's at the same time %.1f ms", route, p.after.Mean(), p.mean)
	}
	return ""
}

// match is a new version's outcomes beside what the old version's were at the same moments.
type match struct {
	before, after Tally
	rate          float64 // old version's failure rate when the new one's requests ended
	mean          float64 // old version's mean latency then, in milliseconds
	deviation     float64 // standard deviation of the difference of the means, in milliseconds
	spread        float64 // slots over which the new version's requests are spread
}

// pair weighs the old version's outcomes of each slot by the new version's requests in it. Requests of one slot share
// what slowed them, so the chance of a difference is taken from slot to slot and not from request to request.
func pair(before, after Series) match {
	m := match{before: before.Total(), after: after.Total()}
	n := m.after.Requests
	if n == 0 {
		return m
	}
	means := [seriesSlots]float64{}
	squares := 0.0
	for i, t := range after.slots {
		filled := fill(before.slots[i], m.before)
		means[i] = filled.Mean()
		m.mean += t.Requests / n * filled.Mean()
		m.rate += t.Requests / n * filled.failureRate()
		squares += t.Requests * t.Requests
	}
	m.spread = n * n / squares
	difference := m.after.Mean() - m.mean
	variance := 0.0
	for i, t := range after.slots {
		rest := t.Latency - t.Requests*(means[i]+difference)
		variance += rest * rest / (n * n)
	}
	if m.spread > 1 {
		variance *= m.spread / (m.spread - 1)
	}
	m.deviation = math.Sqrt(variance)
	return m
}

// fill adds a few requests with the overall outcomes to a slot, which may hold few or none.
func fill(slot, overall Tally) Tally {
	slot.add(Tally{
		Requests: priorRequests,
		Failures: priorRequests * overall.failureRate(),
		Latency:  priorRequests * overall.Mean(),
	})
	return slot
}

// failing tells whether the failures exceed what the old version's rate and chance explain.
func (m match) failing() bool {
	if m.after.Failures < leastFailures {
		return false
	}
	rate := (m.rate*m.before.Requests+0.5)/(m.before.Requests+1) + allowance
	if m.before.Requests < leastTimed {
		// So few requests say nothing if all went well, but failures among them are not the new version's fault.
		rate = m.rate*m.before.Requests/(m.before.Requests+1) + allowance
	}
	expected := m.after.Requests * rate
	return m.after.Failures > expected+deviations*math.Sqrt(expected)
}

// slow tells whether the mean latency exceeds the old version's by more than a factor, a margin and chance.
func (m match) slow() bool {
	if m.before.Requests < leastTimed || m.after.Requests < leastTimed || m.spread < leastSpread {
		return false
	}
	return m.looksSlow() && m.after.Mean()-m.mean > deviations*m.deviation
}

// looksSlow tells whether the mean latency exceeds the old version's by a factor and a margin, be it by chance.
func (m match) looksSlow() bool { return m.after.Mean() >= slowFactor*m.mean+slowMargin }

// Judged tells whether enough outcomes are at hand to let the share grow, and none of them leaves a doubt.
func Judged(before, after map[string]Series) bool {
	m := pair(total(before), total(after))
	if m.looksSlow() {
		return false
	}
	if m.after.Failures > m.rate*m.after.Requests {
		return m.after.Requests >= fullJudgement
	}
	return m.after.Requests >= leastJudgement
}
