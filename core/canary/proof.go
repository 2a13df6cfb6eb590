package canary

const (
	// successesPerBad is the number of good outcomes that outweigh a failed or lost request. A version that fails more than
	// one in successesPerBad is never proved.
	successesPerBad = 20.0
	// aloneWeight is the weight of an outcome if there is no old version to compare with.
	aloneWeight = 0.75
	minBaseline = 5.0 // requests of the old version in the last seconds that show how it does
	// maxRunning is the number of running requests in relation to those that have ended up to which the latter are evidence:
	// the first ones to end are the fast ones.
	maxRunning     = 0.3
	maxBaselineBad = 0.1 // share of its failed and lost requests from which the old version is in trouble
)

// Hindrance is why a version is not proved yet.
type Hindrance string

// Hindrances. The empty one means that there is none.
const (
	TooFewOutcomes    Hindrance = "too few outcomes"
	SlowerThanOld     Hindrance = "slower than the old version"
	BaselineFew       Hindrance = "too few requests of the old version to compare with"
	BaselineInTrouble Hindrance = "the old version is in trouble"
	InTrouble         Hindrance = "slow"
	ManyRunning       Hindrance = "too many requests have not ended"
)

// Proof is the evidence that a version is good.
type Proof struct {
	// Outcomes is the number of good outcomes of the version since the move began, less those that its bad ones outweigh.
	// It is zero while there is another hindrance than too few outcomes.
	Outcomes  float64
	Hindrance Hindrance
}

// Prove returns the evidence that the new version is good. Outcomes are evidence only while the old version is well, unless
// it is gone: what both versions suffer says nothing of the new one.
func Prove(o Outcomes, standard Standard) Proof {
	c := compare(overall(o.Baseline), overall(o.Candidate))
	if c.candidate.isSlow(minBaseline, standard.Latency) || o.Total.isSlow(minBaseline, standard.Latency) {
		return Proof{Hindrance: InTrouble}
	}
	if o.Total.running() > maxRunning*o.Total.Requests {
		return Proof{Hindrance: ManyRunning}
	}
	excess, weight := o.Total.bad(), aloneWeight
	if o.Whole {
		excess = o.Total.Failures // requests that all servers of the service lose say nothing of the version
	}
	if !o.Gone {
		weight = 1
		if h := c.hindrance(standard); h != "" {
			return Proof{Hindrance: h}
		}
		excess = max(0, excess-o.Total.Requests*ratio(c.baseline.bad(), c.baseline.Requests))
	}
	outcomes := o.Total.Requests - excess - successesPerBad*excess
	return Proof{Outcomes: max(0, weight*outcomes), Hindrance: TooFewOutcomes}
}

// hindrance returns why the comparison with the old version is no evidence that the new one is good, or an empty string.
func (c comparison) hindrance(standard Standard) Hindrance {
	switch {
	case c.baseline.Requests < minBaseline:
		return BaselineFew
	case c.baseline.bad() > maxBaselineBad*c.baseline.Requests:
		return BaselineInTrouble
	case c.baseline.isSlow(minBaseline, standard.Latency):
		return BaselineInTrouble
	case c.exceedsLatencyMargin() && c.candidate.Requests > 0:
		return SlowerThanOld
	}
	return ""
}
