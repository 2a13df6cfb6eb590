// Package model plays the systems that jayshift serves in virtual time: callers, backend servers that remember objects,
// and several hosts that place requests with the code that runs in production. It shows what callers get under a load,
// and compares ways to place requests on the same seeds.
package model

import "time"

// Scenario is a load and the servers that it meets.
type Scenario struct {
	Name       string
	Regions    int           // each with the same callers
	Zones      int           // in each region
	Hosts      int           // in each zone
	Servers    []int         // in each zone of a region, by region
	Slots      int           // of each server
	Queue      int           // requests that may wait at a server before it refuses
	Remembers  int           // objects that a server runs faster, the latest ones
	Objects    int           // that the callers of a region ask for
	Rate       float64       // requests a second in a region
	Cold       time.Duration // a run on an object that the server does not remember
	Warm       time.Duration // a run on one that it remembers
	Spread     float64       // of the time of runs, as a share of it
	Aim        time.Duration // latency target
	Patience   time.Duration // how long callers wait
	FarTrip    time.Duration // to another region and back
	Length     time.Duration // of the play
	BurstAt    time.Duration // when the rate is multiplied, zero for never
	BurstFor   time.Duration
	BurstTimes float64
	SlowFrom   time.Duration // when one server of each region becomes slow, zero for never
	SlowTimes  float64
}

// Heavy is a load that fills most slots when all runs are fast ones: one region of three has a quarter of the others'
// servers and as many callers.
func Heavy() Scenario {
	return Scenario{
		Name: "heavy", Regions: 3, Zones: 2, Hosts: 2, Servers: []int{1, 4, 4}, Slots: 6, Queue: 18, Remembers: 65,
		Objects: 93, Rate: 150, Cold: 360 * time.Millisecond, Warm: 108 * time.Millisecond, Spread: 0.15,
		Aim: 400 * time.Millisecond, Patience: 2 * time.Second, FarTrip: 110 * time.Millisecond, Length: 30 * time.Second,
	}
}

// Result is what callers got.
type Result struct {
	Policy  string
	Asked   int
	InAim   int
	Late    int
	Refused int // at once, by the host
	Failed  int // refused by a server, or given up
	Warm    int // runs on objects that the server remembered
	Runs    int
	Credit  float64 // of each request, on the mean: 1 in aim, a fifth if late
}

const lateCredit = 0.2

func (r *Result) finish() {
	r.Credit = (float64(r.InAim) + lateCredit*float64(r.Late)) / max(1, float64(r.Asked))
}

// Share returns a part of the requests.
func (r Result) Share(n int) float64 { return float64(n) / max(1, float64(r.Asked)) }

// WarmShare returns the share of runs on objects that the server remembered.
func (r Result) WarmShare() float64 { return float64(r.Warm) / max(1, float64(r.Runs)) }
