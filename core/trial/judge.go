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
	slowFactor     = 1.5  // times the old version's mean latency
	slowMargin     = 2.0  // milliseconds above it
	overallRoute   = "all routes"
	leastJudgement = 20 // requests after which a version counts as judged
)

// Judge compares a new version's outcomes with the old one's, overall and route by route.
// It returns why the new version is bad, or an empty string.
func Judge(before, after map[string]Tally) string {
	if reason := judgeOne(overallRoute, total(before), total(after)); reason != "" {
		return reason
	}
	for route, t := range after {
		if reason := judgeOne(route, before[route], t); reason != "" {
			return reason
		}
	}
	return ""
}

func total(routes map[string]Tally) Tally {
	var sum Tally
	for _, t := range routes {
		sum.add(t)
	}
	return sum
}

func judgeOne(route string, before, after Tally) string {
	if failing(before, after) {
		return fmt.Sprintf("%s: %.0f of %.0f requests failed, before %.0f of %.0f",
			route, after.Failures, after.Requests, before.Failures, before.Requests)
	}
	if slow(before, after) {
		return fmt.Sprintf("%s: mean latency %.1f ms, before %.1f ms", route, after.Mean(), before.Mean())
	}
	return ""
}

// failing tells whether the failures exceed what the old version's rate and chance explain.
func failing(before, after Tally) bool {
	if after.Failures < leastFailures-0.5 {
		return false
	}
	rate := (before.Failures+0.5)/(before.Requests+1) + allowance
	if before.Requests < leastTimed {
		// So few requests say nothing if all went well, but failures among them are not the new version's fault.
		rate = before.Failures/(before.Requests+1) + allowance
	}
	expected := after.Requests * rate
	return after.Failures > expected+deviations*math.Sqrt(expected)
}

// slow tells whether the mean latency exceeds the old version's by more than a factor, a margin and chance.
func slow(before, after Tally) bool {
	if before.Requests < leastTimed || after.Requests < leastTimed {
		return false
	}
	if after.Mean() < slowFactor*before.Mean()+slowMargin {
		return false
	}
	deviation := math.Sqrt(before.variance()/before.Requests + after.variance()/after.Requests)
	return after.Mean()-before.Mean() > deviations*deviation
}

// Judged tells whether enough outcomes are at hand to let the share grow.
func Judged(after map[string]Tally) bool { return total(after).Requests >= leastJudgement }
