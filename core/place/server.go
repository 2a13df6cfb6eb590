package place

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayshift/core/ident"
	"jayshift/core/roster"
)

const (
	assumedRoundTrip = 100 * time.Millisecond // to another region, until one was measured
	loadMemory       = 250 * time.Millisecond // time constant of what other hosts were seen to add
	loadFades        = 2 * time.Second        // without any answer, after which what was seen counts half
	failureWeight    = 0.15                   // of one outcome in the failure rate
	slowWeight       = 0.1                    // of one answer in the slowness
	mostSlow         = 20.0
	firstPause       = 300 * time.Millisecond // after a backend server could not be reached
	longestPause     = 4 * time.Second
	faultsToPause    = 3 // faults in a row of a backend server that can be reached
	coldRateUsed     = 0.7
	objectsKept      = 24
	objectLife       = 12 * time.Second
)

// server is what this host knows of one backend server. Its shard's lock guards it.
type server struct {
	roster.Entry
	hash     uint64
	coldRate float64 // requests a second that it bears while it is cold

	inFlight int
	others   float64 // requests of other hosts that it was seen to have
	reported time.Time
	heard    time.Time // last answer
	slow     float64   // its answers' times against those of its service
	failing  float64   // share of the requests that failed lately
	faults   int       // in a row
	paused   time.Time
	pause    time.Duration
	probing  bool // one request is out to see whether it works again
	trip     time.Duration
	objects  map[ident.Object]time.Time // when an object may be forgotten
	paced    float64                    // requests that it may get while it is cold
	pacedAt  time.Time
	gone     bool
}

func newServer(e roster.Entry, coldRate float64) *server {
	return &server{
		Entry: e, hash: xxhash.Sum64String(string(e.ID)), coldRate: coldRate,
		slow: 1, objects: map[ident.Object]time.Time{},
	}
}

func (s *server) roundTrip() time.Duration {
	if s.trip == 0 {
		return assumedRoundTrip
	}
	return s.trip
}

// load estimates how many requests run or wait at the server.
func (s *server) load() float64 { return float64(s.inFlight) + s.others }

// busy tells how much of the server would be in use with one more request, from 0 to 1.
func (s *server) busy() float64 { return min(1, (s.load()+1)/float64(s.Slots)) }

// wait estimates how long a request waits there, given the time that one takes.
func (s *server) wait(work time.Duration) time.Duration {
	ahead := s.load() - float64(s.Slots) + 1
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead * s.slow * float64(work) / float64(s.Slots))
}

// report takes in the load that an answer states.
func (s *server) report(now time.Time, l Load) {
	seen := max(0, float64(l.Running+l.Waiting-s.inFlight))
	keep := math.Exp(-float64(now.Sub(s.reported)) / float64(loadMemory))
	if s.reported.IsZero() {
		keep = 0
	}
	s.others = keep*s.others + (1-keep)*seen
	s.reported = now
	if l.Slots > 0 {
		s.Slots = l.Slots
	}
}

// full notes that the server refused a request for lack of room.
func (s *server) full(now time.Time, queue float64) {
	s.others = max(s.others, float64(s.Slots)*(1+queue)-float64(s.inFlight))
	s.reported = now
}

// faded lets what was seen of other hosts fade while no answer comes that states it.
func (s *server) faded(now time.Time) {
	if s.others > 0 && now.Sub(s.reported) >= loadFades {
		s.others /= 2
		s.reported = now
	}
}

func (s *server) isCold(now time.Time) bool { return now.Before(s.ColdUntil) }

// coldRoom tells whether the server may get one more request while it is cold.
func (s *server) coldRoom(now time.Time) bool {
	rate := s.coldRate * coldRateUsed
	s.paced = min(1, s.paced+rate*now.Sub(s.pacedAt).Seconds())
	s.pacedAt = now
	return s.paced >= 1
}

// knows tells whether the server has run the object lately for this host.
func (s *server) knows(now time.Time, o ident.Object) bool {
	until, ok := s.objects[o]
	return ok && now.Before(until)
}

// learn notes that the server ran the object, and forgets the oldest beyond the number kept.
func (s *server) learn(now time.Time, o ident.Object) {
	if o == "" {
		return
	}
	s.objects[o] = now.Add(objectLife)
	if len(s.objects) <= objectsKept {
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

func (s *server) succeeded() {
	s.failing *= 1 - failureWeight
	s.faults = 0
	s.pause = 0
	s.paused = time.Time{}
}

func (s *server) failed() { s.failing += failureWeight * (1 - s.failing) }

// fault notes an attempt that got no answer, and keeps requests away for a while after too many in a row.
func (s *server) fault(now time.Time, allowed int) {
	s.failed()
	s.faults++
	if s.faults < allowed {
		return
	}
	s.pause = min(max(2*s.pause, firstPause), longestPause)
	s.paused = now.Add(s.pause)
}
