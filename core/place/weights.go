package place

import "time"

// Weights set the cost of a server besides the time until its response, and how many requests it may get. Costs are times,
// so that they can be added to that time: a server with a higher cost is selected only if it is faster by as much.
type Weights struct {
	Zone            time.Duration // for another availability zone of the local region
	Region          time.Duration // for another region, besides the measured round-trip time
	ZoneKilobyte    time.Duration // for 1000 bytes to or from another availability zone
	RegionKilobyte  time.Duration // for 1000 bytes to or from another region
	Failure         time.Duration // for a failure rate of 1; the cost is proportional to the rate
	QueuePerSlot    float64       // requests that may wait at a backend server for each of its slots
	UnassignedShare float64       // share of a server's slots that may run requests on objects not expected to be warm there
}

// DefaultWeights returns the weights for deployments where traffic between zones costs about as much as a late response.
func DefaultWeights() Weights {
	return Weights{
		Zone: 10 * time.Millisecond, Region: 20 * time.Millisecond,
		ZoneKilobyte: 10 * time.Millisecond, RegionKilobyte: 12 * time.Millisecond,
		Failure: 400 * time.Millisecond, QueuePerSlot: 2, UnassignedShare: 0.5,
	}
}

// priorityStep is the share of the queue that each lower priority may not use.
const priorityStep = 0.25

// capacity returns how many requests may run or wait at a server with the given slots when the request is sent to it.
func (w Weights) capacity(slots int, q Query) float64 {
	if q.Ranked {
		return max(1, float64(slots)*(1+w.QueuePerSlot-q.Reserve)) // a server without requests may always be used
	}
	queue := w.QueuePerSlot * max(0, 1-priorityStep*float64(q.Priority))
	return float64(slots) * (1 + queue)
}

// unassignedCapacity is capacity for a server that is not expected to be warm for the request's object.
func (w Weights) unassignedCapacity(slots int, q Query) float64 {
	unassigned := w.UnassignedShare * float64(slots)
	if q.Ranked {
		return min(unassigned, w.capacity(slots, q))
	}
	return unassigned
}

// Step returns the room that each lower priority leaves to the higher ones, in requests per slot.
func (w Weights) Step() float64 { return priorityStep * w.QueuePerSlot }

const kilobyte = 1000

// transferCost returns the cost of reaching a backend server from the location and of transferring the bytes, which
// count request and response together.
func (w Weights) transferCost(local Location, srv *server, bytes float64) time.Duration {
	kb := bytes / kilobyte
	switch {
	case srv.Zone == local.Zone:
		return 0
	case srv.Region == local.Region:
		return w.Zone + time.Duration(kb*float64(w.ZoneKilobyte))
	default:
		return w.Region + srv.rtt() + time.Duration(kb*float64(w.RegionKilobyte))
	}
}
