package room

// regionSum is the sum of the reports of a region's hosts.
type regionSum struct {
	demand   Demands
	bound    ByService
	requests float64 // of all hosts
	reported float64 // of these, requests of hosts that report their demand
}

func newRegionSum() *regionSum { return &regionSum{demand: Demands{}, bound: ByService{}} }

func (x *regionSum) add(r Report) {
	x.requests += r.Requests
	if len(r.Demand) > 0 {
		x.reported += r.Requests
	}
	for s, d := range r.Demand {
		sum := x.demand[s]
		x.demand[s] = Demand{Requests: sum.Requests + d.Requests, Work: sum.Work + d.Work}
	}
	for q, services := range r.Bound {
		for s, work := range services {
			x.bound.Add(q, s, work)
		}
	}
}

// minReported is the part of a region's requests whose demand must be reported, so that a few requests do not stand for many.
const minReported = 0.1

// scaled returns the demand with that of hosts which do not report it, in proportion to their requests. It returns false if too
// few do.
func (x *regionSum) scaled() (Demands, bool) {
	if x.requests < fewRequests {
		return x.demand, true
	}
	if x.reported < minReported*x.requests {
		return nil, false
	}
	factor := x.requests / x.reported
	scaled := make(Demands, len(x.demand))
	for s, d := range x.demand {
		scaled[s] = Demand{Requests: factor * d.Requests, Work: Slots(factor) * d.Work}
	}
	return scaled, true
}
