package canary

import (
	"fmt"
	"math"
)

const (
	minFailures       = 4    // failed requests before a version can be found to fail too often
	minLosses         = 10   // lost requests likewise; a server that crashes loses several at once
	failureRateMargin = 0.01 // failure rate allowed above the old version's
	deviationLimit    = 4.0  // standard deviations that a difference must exceed to be significant
	minSample         = 20   // requests of a version that are a sufficient sample of its outcomes
	minEffectiveSlots = 3.0  // effective slots of the new version's requests before mean latencies are compared
	latencyFactor     = 1.5  // a slow version's mean latency is at least this many times the old version's
	latencyMarginMs   = 2.0  // plus this many milliseconds
	priorRequests     = 5.0  // requests with the old version's overall mean that are added to each of its slots
	overallRoute      = "all routes"
	// A version is bad, whatever the old one does, from maxFailures failed answers on if they are maxFailureRate of its
	// answers, and from maxBad failed and lost requests on if they are maxBadRate of its requests.
	maxFailures    = 12.0
	maxFailureRate = 0.15
	maxBad         = 40.0
	maxBadRate     = 0.4
	// maxFailuresAlone is used in place of maxFailures for the last seconds of a version that has no other to compare with.
	maxFailuresAlone = 6.0
	// badLatencyFactor is the mean latency, in multiples of Standard.Latency, from which a version is bad if the old one gets too
	// few requests to compare with. wholeLatencyFactor and wholeSample apply to a version that gets all requests: whatever
	// else slows the service for a moment slows it too.
	badLatencyFactor   = 1.5
	wholeLatencyFactor = 2.0
	wholeSample        = 150.0
)

// Standard is what a version's outcomes are measured by apart from those of another version.
type Standard struct {
	Latency float64 // mean in milliseconds above which a version is in trouble; 0 if none is known
}

// Outcomes are those of the two versions of a service that is being moved, as far as this host knows. All series must have
// been advanced to the same time.
type Outcomes struct {
	Baseline, Candidate map[string]Series // of the old and the new version, by route
	Total               Tally             // of the new version since the move began
	// Gone reports that there is no old version to compare with: it has no backend server left, or gets no requests any more.
	Gone bool
	// Whole reports that the new version gets all requests: it was proved beside the old one before.
	Whole bool
}

// Judge returns the reason why the new version is bad, or an empty string. It compares the new version (candidate) with the
// old one (baseline), overall and by route: failed answers with failed answers and lost requests with lost ones, so that an
// old version that does not answer excuses no failed answers.
func Judge(o Outcomes, standard Standard) string {
	if reason := judgeTotal(o.Total); reason != "" {
		return reason
	}
	if reason := o.judgeLatency(standard); reason != "" {
		return reason
	}
	if o.Gone {
		return judgeLast(overall(o.Candidate).Total())
	}
	if reason := judgeRoute(overallRoute, overall(o.Baseline), overall(o.Candidate)); reason != "" {
		return reason
	}
	for route, s := range o.Candidate {
		if reason := judgeRoute(route, o.Baseline[route], s); reason != "" {
			return reason
		}
	}
	return ""
}

// judgeLast judges the outcomes of the last seconds of a version that has no other to compare with. Lost requests and slow
// ones may have another cause then.
func judgeLast(t Tally) string {
	if t.Failures >= maxFailuresAlone && t.Failures >= maxFailureRate*t.answered() {
		return fmt.Sprintf("%.0f of %.0f answers were failures", t.Failures, t.answered())
	}
	return ""
}

// judgeTotal judges the outcomes since the move began, whatever the old version does.
func judgeTotal(t Tally) string {
	switch {
	case t.Failures >= maxFailures && t.Failures >= maxFailureRate*t.answered():
		return fmt.Sprintf("%.0f of %.0f answers since the move began were failures", t.Failures, t.answered())
	case t.bad() >= maxBad && t.bad() >= maxBadRate*t.Requests:
		return fmt.Sprintf("%.0f of %.0f requests since the move began failed or were lost", t.bad(), t.Requests)
	}
	return ""
}

// judgeLatency judges the latency since the move began if the old version gets too few requests to compare with.
func (o Outcomes) judgeLatency(standard Standard) string {
	if !o.Gone && overall(o.Baseline).Total().Requests >= minSample {
		return ""
	}
	sample, limit := float64(minSample), badLatencyFactor*standard.Latency
	if o.Whole {
		sample, limit = wholeSample, wholeLatencyFactor*standard.Latency
	}
	if !o.Total.isSlow(sample, limit) {
		return ""
	}
	return fmt.Sprintf("mean latency of %.0f requests since the move began %.1f ms", o.Total.Requests, o.Total.MeanLatency())
}

// Undecided reports whether both versions are slow, so that the new one can neither be found bad nor proved. It must get no
// requests meanwhile.
func Undecided(o Outcomes, standard Standard) bool {
	if o.Gone {
		return false
	}
	return overall(o.Baseline).Total().isSlow(minSample, standard.Latency) && o.Total.isSlow(minSample, badLatencyFactor*standard.Latency)
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
	if c.failures.exceeds() {
		return fmt.Sprintf("%s: %.0f of %.0f answers were failures, %.1f%% of the old version's at the same time",
			route, c.candidate.Failures, c.candidate.answered(), 100*c.failures.baselineRate)
	}
	if c.losses.exceeds() {
		return fmt.Sprintf("%s: %.0f of %.0f requests were lost, %.1f%% of the old version's at the same time",
			route, c.candidate.Lost, c.candidate.Requests, 100*c.losses.baselineRate)
	}
	if c.slower() {
		return fmt.Sprintf("%s: mean latency %.1f ms, the old version's at the same time %.1f ms", route, c.candidate.MeanLatency(), c.baselineMean)
	}
	return ""
}

// isSlow reports whether a sample of sufficient size has a mean latency above the limit in milliseconds, 0 for none.
func (t Tally) isSlow(sample, limit float64) bool {
	return limit > 0 && t.Requests >= sample && t.MeanLatency() > limit
}

// comparison holds the outcomes of the new version and those of the old version in the same slots.
type comparison struct {
	baseline, candidate Tally
	failures            rateComparison // of failed answers among the answers
	losses              rateComparison // of lost requests among all
	baselineMean        float64        // old version's mean latency in milliseconds, weighted by the new version's requests in each slot
	stdErr              float64        // standard error of the difference of the means, in milliseconds
	effectiveSlots      float64        // effective number of slots over which the new version's requests are spread
}

// rateComparison compares how often requests of the two versions ended in one way.
type rateComparison struct {
	minHits          float64 // with fewer the rates are not compared
	requests, hits   float64 // of the new version
	baselineRequests float64
	baselineRate     float64 // old version's rate, weighted by the new version's requests in each slot
}

// compare weights the old version's outcomes in each slot by the new version's requests in it. Requests in the same
// slot share the causes of their latency and are not independent, so the standard error is computed from the
// differences between slots and not between requests.
func compare(baseline, candidate Series) comparison {
	c := comparison{baseline: baseline.Total(), candidate: candidate.Total()}
	c.failures = rateComparison{minHits: minFailures, requests: c.candidate.answered(), hits: c.candidate.Failures, baselineRequests: c.baseline.answered()}
	c.losses = rateComparison{minHits: minLosses, requests: c.candidate.Requests, hits: c.candidate.Lost, baselineRequests: c.baseline.Requests}
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
		c.failures.baselineRate += ratio(t.answered(), c.failures.requests) * ratio(smoothed.Failures, smoothed.answered())
		c.losses.baselineRate += t.Requests / n * ratio(smoothed.Lost, smoothed.Requests)
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

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// smooth adds priorRequests requests with the overall rates and mean latency to a slot, which may hold few requests or
// none.
func smooth(slot, overall Tally) Tally {
	slot.add(Tally{
		Requests:   priorRequests,
		Failures:   priorRequests * ratio(overall.Failures, overall.Requests),
		Lost:       priorRequests * ratio(overall.Lost, overall.Requests),
		LatencySum: priorRequests * overall.MeanLatency(),
	})
	return slot
}

// exceeds reports whether the new version has significantly more hits than the old version's rate explains.
func (r rateComparison) exceeds() bool {
	if r.hits < r.minHits {
		return false
	}
	rate := (r.baselineRate*r.baselineRequests+0.5)/(r.baselineRequests+1) + failureRateMargin
	if r.baselineRequests < minSample {
		// So few successful requests say nothing about the old version's rate, so the half hit above is not assumed. Hits
		// among them still count, because they cannot be the new version's fault.
		rate = r.baselineRate*r.baselineRequests/(r.baselineRequests+1) + failureRateMargin
	}
	expected := r.requests * rate
	return r.hits > expected+deviationLimit*math.Sqrt(expected)
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
