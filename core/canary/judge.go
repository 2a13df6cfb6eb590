package canary

import (
	"fmt"
	"math"
)

const (
	minFailures          = 4    // failed requests before a version can be found to fail too often
	failureRateMargin    = 0.01 // failure rate allowed above the old version's
	deviationLimit       = 4.0  // standard deviations that a difference must exceed to be significant
	minSample            = 20   // requests of a version that are a sufficient sample of its outcomes
	minEffectiveSlots    = 3.0  // effective slots of the new version's requests before mean latencies are compared
	latencyFactor        = 1.5  // a slow version's mean latency is at least this many times the old version's
	latencyMarginMs      = 2.0  // plus this many milliseconds
	priorRequests        = 5.0  // requests with the old version's overall mean that are added to each of its slots
	overallRoute         = "all routes"
	minRequests          = 20 // requests before the share may grow, if the failure rate is not above the old version's
	minRequestsIfFailing = 40 // requests before the share may grow, if the failure rate is above the old version's but not significantly
)

// Judge compares the outcomes of the new version (candidate) with those of the old one (baseline), overall and by
// route. All series must have been advanced to the same time. It returns the reason why the new version is bad, or an
// empty string.
func Judge(baseline, candidate map[string]Series) string {
	if reason := judgeRoute(overallRoute, overall(baseline), overall(candidate)); reason != "" {
		return reason
	}
	for route, s := range candidate {
		if reason := judgeRoute(route, baseline[route], s); reason != "" {
			return reason
		}
	}
	return ""
}

func overall(routes map[string]Series) Series {
	var sum Series
	for _, s := range routes {
		sum.merge(s)
	}
	return sum
}

func judgeRoute(route string, baseline, candidate Series) string {
	c := compare(baseline, candidate)
	if c.failsMore() {
		return fmt.Sprintf("%s: %.0f of %.0f requests failed, %.1f%% of the old version's at the same time",
			route, c.candidate.Failures, c.candidate.Requests, 100*c.baselineRate)
	}
	if c.slower() {
		return fmt.Sprintf("%s: mean latency %.1f ms, the old version's at the same time %.1f ms", route, c.candidate.MeanLatency(), c.baselineMean)
	}
	return ""
}

// comparison holds the outcomes of the new version and those of the old version in the same slots.
type comparison struct {
	baseline, candidate Tally
	baselineRate        float64 // old version's failure rate, weighted by the new version's requests in each slot
	baselineMean        float64 // old version's mean latency in milliseconds, weighted likewise
	stdErr              float64 // standard error of the difference of the means, in milliseconds
	effectiveSlots      float64 // effective number of slots over which the new version's requests are spread
}

// compare weights the old version's outcomes in each slot by the new version's requests in it. Requests in the same
// slot share the causes of their latency and are not independent, so the standard error is computed from the
// differences between slots and not between requests.
func compare(baseline, candidate Series) comparison {
	c := comparison{baseline: baseline.Total(), candidate: candidate.Total()}
	n := c.candidate.Requests
	if n == 0 {
		return c
	}
	slotMeans := [slotCount]float64{}
	sumSquares := 0.0
	for i, t := range candidate.slots {
		smoothed := smooth(baseline.slots[i], c.baseline)
		slotMeans[i] = smoothed.MeanLatency()
		c.baselineMean += t.Requests / n * smoothed.MeanLatency()
		c.baselineRate += t.Requests / n * smoothed.failureRate()
		sumSquares += t.Requests * t.Requests
	}
	c.effectiveSlots = n * n / sumSquares
	difference := c.candidate.MeanLatency() - c.baselineMean
	variance := 0.0
	for i, t := range candidate.slots {
		residual := t.LatencySum - t.Requests*(slotMeans[i]+difference)
		variance += residual * residual / (n * n)
	}
	if c.effectiveSlots > 1 {
		variance *= c.effectiveSlots / (c.effectiveSlots - 1)
	}
	c.stdErr = math.Sqrt(variance)
	return c
}

// smooth adds priorRequests requests with the overall failure rate and mean latency to a slot, which may hold few
// requests or none.
func smooth(slot, overall Tally) Tally {
	slot.add(Tally{
		Requests:   priorRequests,
		Failures:   priorRequests * overall.failureRate(),
		LatencySum: priorRequests * overall.MeanLatency(),
	})
	return slot
}

// failsMore reports whether the new version has significantly more failures than the old version's failure rate
// explains.
func (c comparison) failsMore() bool {
	if c.candidate.Failures < minFailures {
		return false
	}
	rate := (c.baselineRate*c.baseline.Requests+0.5)/(c.baseline.Requests+1) + failureRateMargin
	if c.baseline.Requests < minSample {
		// So few successful requests say nothing about the old version's failure rate, so the half failure above is
		// not assumed. Failures among them still count, because they cannot be the new version's fault.
		rate = c.baselineRate*c.baseline.Requests/(c.baseline.Requests+1) + failureRateMargin
	}
	expected := c.candidate.Requests * rate
	return c.candidate.Failures > expected+deviationLimit*math.Sqrt(expected)
}

// slower reports whether the new version's mean latency exceeds the old version's by the factor and the margin, and the
// difference is significant.
func (c comparison) slower() bool {
	if c.baseline.Requests < minSample || c.candidate.Requests < minSample || c.effectiveSlots < minEffectiveSlots {
		return false
	}
	return c.exceedsLatencyMargin() && c.candidate.MeanLatency()-c.baselineMean > deviationLimit*c.stdErr
}

// exceedsLatencyMargin reports whether the new version's mean latency exceeds the old version's by the factor and the
// margin, whether or not the difference is significant.
func (c comparison) exceedsLatencyMargin() bool {
	return c.candidate.MeanLatency() >= latencyFactor*c.baselineMean+latencyMarginMs
}

// MayAdvance reports whether the share of the new version may grow: it has had enough requests and its mean latency
// does not exceed the margin. With a failure rate above the old version's, more requests are needed.
func MayAdvance(baseline, candidate map[string]Series) bool {
	c := compare(overall(baseline), overall(candidate))
	if c.exceedsLatencyMargin() {
		return false
	}
	if c.candidate.Failures > c.baselineRate*c.candidate.Requests {
		return c.candidate.Requests >= minRequestsIfFailing
	}
	return c.candidate.Requests >= minRequests
}
