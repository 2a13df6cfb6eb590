package place

import "time"

const (
	runTimeWeight    = 0.05 // weight of one sample in the moving averages
	assumedWarmRatio = 0.3  // assumed ratio of warm to cold run times, until a warm run was measured
)

// runTime holds the mean run times of a route's requests at a backend server that is neither slow nor full.
type runTime struct {
	warm time.Duration // the server has run the object recently
	cold time.Duration // the server has not run the object recently
}

// expected returns the expected time of a run. If nothing was measured, it derives it from the latency target.
func (rt runTime) expected(warm bool, latencyTarget time.Duration) time.Duration {
	cold := rt.cold
	if cold == 0 {
		cold = max(latencyTarget, rt.warm)
	}
	if !warm {
		return cold
	}
	if rt.warm == 0 {
		return time.Duration(assumedWarmRatio * float64(cold))
	}
	return min(rt.warm, cold)
}

// measured reports whether warm or cold runs, respectively, were measured.
func (rt runTime) measured(warm bool) bool {
	if warm {
		return rt.warm > 0
	}
	return rt.cold > 0
}

func (rt *runTime) record(warm bool, elapsed time.Duration) {
	if warm {
		rt.warm = ewma(rt.warm, elapsed)
		return
	}
	rt.cold = ewma(rt.cold, elapsed)
}

func ewma(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(runTimeWeight*float64(sample-mean))
}
