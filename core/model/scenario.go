// Package model is a discrete-event simulation of callers, backend servers that cache objects, and several hosts that
// balance load with the production code. It measures the latencies and failures that callers see under a load, and
// compares load-balancing policies on the same seeds.
package model

import "time"

// Scenario describes the load and the backend servers of a simulation.
type Scenario struct {
	Name           string
	Regions        int           // all with the same load from callers
	Zones          int           // availability zones per region
	Hosts          int           // hosts per zone
	Servers        []int         // backend servers per zone, by region; reused in order when there are more regions
	Slots          int           // concurrent requests per server
	QueueLimit     int           // requests that may wait at a server before it sheds load
	CacheSize      int           // most recently used objects that a server runs faster
	Objects        int           // objects that the callers of a region request
	Rate           float64       // requests per second per region
	ColdRunTime    time.Duration // mean run time when the object is not cached
	WarmRunTime    time.Duration // mean run time when the object is cached
	RunTimeSpread  float64       // standard deviation of run times, as a fraction of the mean
	LatencyTarget  time.Duration // target latency of a request
	CallerTimeout  time.Duration // time that callers wait for a response
	InterRegionRTT time.Duration // round-trip time between regions
	Duration       time.Duration // time during which callers send requests
	BurstStart     time.Duration // when the rate is multiplied by BurstFactor, 0 for never
	BurstDuration  time.Duration
	BurstFactor    float64
	SlowStart      time.Duration // when one server per region slows down by SlowFactor, 0 for never
	SlowFactor     float64
}

// HeavyLoad returns a scenario whose load fills most slots when all runs are warm. One of the three regions has a
// quarter of the others' servers and the same load.
func HeavyLoad() Scenario {
	return Scenario{
		Name: "heavy", Regions: 3, Zones: 2, Hosts: 2, Servers: []int{1, 4, 4}, Slots: 6, QueueLimit: 18, CacheSize: 65,
		Objects: 93, Rate: 150, ColdRunTime: 360 * time.Millisecond, WarmRunTime: 108 * time.Millisecond, RunTimeSpread: 0.15,
		LatencyTarget: 400 * time.Millisecond, CallerTimeout: 2 * time.Second, InterRegionRTT: 110 * time.Millisecond, Duration: 30 * time.Second,
	}
}

// Result counts the requests of a simulation by how they ended for callers.
type Result struct {
	Policy   string
	Requests int
	InTarget int     // within the latency target
	Late     int     // after the latency target, within CallerTimeout
	Refused  int     // rejected by the host without being sent
	Failed   int     // shed by a server, or slower than CallerTimeout
	WarmRuns int     // runs on cached objects
	Runs     int     // requests run by a server
	Credit   float64 // mean over all requests: 1 within the latency target, lateCredit when late, 0 otherwise
}

// lateCredit is the credit of a request that misses the latency target but ends within CallerTimeout.
const lateCredit = 0.2

func (r *Result) computeCredit() {
	r.Credit = (float64(r.InTarget) + lateCredit*float64(r.Late)) / max(1, float64(r.Requests))
}

// Share returns n as a fraction of all requests.
func (r Result) Share(n int) float64 { return float64(n) / max(1, float64(r.Requests)) }

// WarmShare returns the fraction of runs on cached objects.
func (r Result) WarmShare() float64 { return float64(r.WarmRuns) / max(1, float64(r.Runs)) }
