package place

import "time"

// Weights say what a choice costs besides the time until the answer. Costs are stated as times, so that they can be
// added to it: a choice that costs more must be that much faster.
type Weights struct {
	Zone       time.Duration // for another availability zone of the own region
	Region     time.Duration // for another region, besides the measured way
	ZoneByte   time.Duration // for 1000 bytes to or from another availability zone
	RegionByte time.Duration // for 1000 bytes to or from another region
	Failure    time.Duration // for a certain failure; a likely one costs its part
	Queue      float64       // requests that may wait at a backend server, for each of its slots
	Stray      float64       // part of the slots that may run requests on objects that do not live there
}

// DefaultWeights serve deployments where bytes between zones cost about as much as a late answer.
func DefaultWeights() Weights {
	return Weights{
		Zone: 10 * time.Millisecond, Region: 20 * time.Millisecond,
		ZoneByte: 10 * time.Millisecond, RegionByte: 12 * time.Millisecond,
		Failure: 400 * time.Millisecond, Queue: 2, Stray: 0.5,
	}
}

// rankStep is the part of the queue that each less urgent rank may not use.
const rankStep = 0.25

// room returns how many requests of a rank may run or wait at a server.
func (w Weights) room(slots, rank int) float64 {
	queue := w.Queue * max(0, 1-rankStep*float64(rank))
	return float64(slots) * (1 + queue)
}

const kilobyte = 1000

// way returns what it costs to reach a backend server from the place, and to send the bytes there and back.
func (w Weights) way(from Place, s *server, bytes float64) time.Duration {
	kb := bytes / kilobyte
	switch {
	case s.Zone == from.Zone:
		return 0
	case s.Region == from.Region:
		return w.Zone + time.Duration(kb*float64(w.ZoneByte))
	default:
		return w.Region + s.roundTrip() + time.Duration(kb*float64(w.RegionByte))
	}
}
