package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/pace"
	"jayshift/core/rest"
	"jayshift/core/roster"
)

const (
	assumedRTT       = 100 * time.Millisecond // to another region, until one was measured
	loadTimeConstant = 250 * time.Millisecond // time constant of the estimate of other hosts' requests
	loadHalfLife     = 2 * time.Second        // interval without a load report after which that estimate is halved
	ownLoadTime      = 500 * time.Millisecond // time constant with which a report gives way to the mean of the region
	failureWeight    = 0.15                   // weight of one outcome in the moving average of the failure rate
	slownessWeight   = 0.1                    // weight of one response in the moving average of the slowness
	maxSlowness      = 20.0                   // ratio of run times
	maxPaceAge       = 600 * time.Millisecond // age from which a reported pace is ignored; it changes many times a second
	initialPause     = 300 * time.Millisecond // first pause, when the server is unreachable or reaches faultThreshold
	maxPause         = 4 * time.Second
	faultThreshold   = 3                // consecutive faults of a reachable backend server that start a pause
	coldRateShare    = 0.7              // share of the rate of a cold server that is sent to it
	maxObjects       = 24               // objects recorded for each server
	objectTTL        = 12 * time.Second // time after a run for which its object is recorded
)

// server is the state that this host holds of one backend server. The lock of its pool guards it.
type server struct {
	roster.Entry
	hash     uint64
	coldRate float64 // requests per second that it can handle while it is cold

	inFlight          int
	otherLoad         float64 // estimated number of other hosts' requests at the server
	reportedAt        time.Time
	heardAt           time.Time     // time of the last report or refusal
	answeredAt        time.Time     // time of the last response
	slowness          float64       // moving average of its run times relative to the usual ones of the route, at least 1
	estimate          pace.Estimate // what the hosts together have observed; it replaces slowness if they share it
	pace              float64       // last reported time of work relative to the usual one, 0 if none was reported
	paceAt            time.Time     // time of that report
	failureRate       float64       // moving average of the share of requests that failed
	consecutiveFaults int           // attempts in a row that got no response
	pausedUntil       time.Time
	pause             time.Duration
	probing           bool // a request is in flight that checks whether the paused server works again
	minRTT            time.Duration
	objects           map[ident.Object]time.Time // objects run recently for this host, with the time when each expires
	coldTokens        float64                    // requests that may be sent to it now while it is cold, at most 1
	coldTokensAt      time.Time
	misdirected       bool
	rested            bool // the server has rested, and has answered nothing since
}

func newServer(e roster.Entry, coldRate float64) *server {
	return &server{
		Entry: e, hash: xxhash.Sum64String(string(e.ID)), coldRate: coldRate,
		slowness: 1, objects: map[ident.Object]time.Time{},
	}
}

func (s *server) limitKey() limit.Server {
	return limit.Server{ID: s.ID, Start: s.StartMillis, Region: s.Region}
}

func (s *server) restKey() rest.Server { return rest.Server{ID: s.ID, Start: s.StartMillis} }

func (s *server) rtt() time.Duration {
	if s.minRTT == 0 {
		return assumedRTT
	}
	return s.minRTT
}

// load estimates how many requests run or wait at the server, of this host and of others.
func (s *server) load() float64 { return float64(s.inFlight) + s.otherLoad }

// utilization returns the share of the slots that would be in use with one more request, at most 1.
func (s *server) utilization() float64 { return min(1, (s.load()+1)/float64(s.Slots)) }

// expectedWait estimates how long a request waits for a slot, given the mean run time of requests.
func (s *server) expectedWait(now time.Time, meanRun time.Duration) time.Duration {
	ahead := s.load() - float64(s.Slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead * s.slowdown() * s.currentPace(now) * float64(meanRun) / float64(s.Slots))
}

// recordPace records the pace that a response reports.
func (s *server) recordPace(now time.Time, pace float64) { s.pace, s.paceAt = pace, now }

// currentPace returns the last reported pace, weighted by its age: it tends to 1 and is 1 from maxPaceAge on.
func (s *server) currentPace(now time.Time) float64 {
	age := max(0, now.Sub(s.paceAt))
	if s.pace <= 0 || age >= maxPaceAge {
		return 1
	}
	return 1 + (s.pace-1)*(1-float64(age)/float64(maxPaceAge))
}

// updateLoad updates the load estimate and the slots from the load that a response reports.
func (s *server) updateLoad(now time.Time, l Load) {
	others := max(0, float64(l.Running+l.Waiting-s.inFlight))
	decay := math.Exp(-float64(now.Sub(s.reportedAt)) / float64(loadTimeConstant))
	if s.reportedAt.IsZero() {
		decay = 0
	}
	s.otherLoad = decay*s.otherLoad + (1-decay)*others
	s.reportedAt, s.heardAt = now, now
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

// markFull records that the server refused a request because its queue was full: queuePerSlot requests for each slot.
func (s *server) markFull(now time.Time, queuePerSlot float64) {
	s.otherLoad = max(s.otherLoad, float64(s.Slots)*(1+queuePerSlot)-float64(s.inFlight))
	s.reportedAt, s.heardAt = now, now
}

// decayLoad halves the estimate of other hosts' requests if loadHalfLife has passed since the last report or halving.
func (s *server) decayLoad(now time.Time) {
	if s.otherLoad > 0 && now.Sub(s.reportedAt) >= loadHalfLife {
		s.otherLoad /= 2
		s.reportedAt = now
	}
}

// loadBy estimates how many requests run or wait at the server, as load, but moves with the age of the last report toward the mean load
// of the region's servers if that is higher.
func (s *server) loadBy(now time.Time, mean *meanLoad) float64 {
	own, usual := s.load(), mean.now(now)*float64(s.Slots)
	if usual <= own {
		return own
	}
	keep := math.Exp(-float64(now.Sub(s.heardAt)) / float64(ownLoadTime))
	return keep*own + (1-keep)*usual
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// hasColdToken reports whether the rate limit for cold servers allows one more request.
func (s *server) hasColdToken(now time.Time) bool {
	rate := s.coldRate * coldRateShare
	s.coldTokens = min(1, s.coldTokens+rate*now.Sub(s.coldTokensAt).Seconds())
	s.coldTokensAt = now
	return s.coldTokens >= 1
}

// ranRecently reports whether the server has run the object for this host within objectTTL.
func (s *server) ranRecently(now time.Time, o ident.Object) bool {
	until, ok := s.objects[o]
	return ok && now.Before(until)
}

// recordObject records that the server ran the object, and evicts the oldest object if there are more than maxObjects.
func (s *server) recordObject(now time.Time, o ident.Object) {
	if o == "" {
		return
	}
	s.objects[o] = now.Add(objectTTL)
	if len(s.objects) <= maxObjects {
		return
	}
	var oldest ident.Object
	for candidate, until := range s.objects {
		if oldest == "" || until.Before(s.objects[oldest]) || until.Equal(s.objects[oldest]) && candidate < oldest {
			oldest = candidate
		}
	}
	delete(s.objects, oldest)
}

func (s *server) recordSuccess() {
	s.failureRate *= 1 - failureWeight
	s.consecutiveFaults = 0
	s.pause = 0
	s.pausedUntil = time.Time{}
}

func (s *server) recordFailure() { s.failureRate += failureWeight * (1 - s.failureRate) }

// recordFault records an attempt that got no response. From threshold consecutive faults on, it pauses the server, with
// the pause doubling from initialPause up to maxPause.
func (s *server) recordFault(now time.Time, threshold int) {
	s.recordFailure()
	s.consecutiveFaults++
	if s.consecutiveFaults < threshold {
		return
	}
	s.pause = min(max(2*s.pause, initialPause), maxPause)
	s.pausedUntil = now.Add(s.pause)
}
