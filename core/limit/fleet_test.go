package limit_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/limit"
)

// Timing of the simulated fleet.
const (
	tick              = 10 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = 1800 * time.Millisecond
	maxDelay          = 600 * time.Millisecond // of a heartbeat through relays
	regions           = 3
	maxHosts          = 300
	groups            = 5 // of hosts that a heartbeat reaches at the same time
)

// Terms of the promise about limits.
const (
	stability   = 4 * time.Second // from the first named limit on, and after a disturbance of a host
	window      = 4 * time.Second
	justStarted = 2 * time.Second
	toldFor     = 500 * time.Millisecond
	allowance   = 5 // requests
	overshoot   = 1.5
)

// simHost is one host in virtual time.
type simHost struct {
	index       int
	name        ident.Host
	limiter     *limit.Limiter
	region      ident.Region
	phase       time.Duration
	heard       []time.Time // last heartbeat of each host
	up          bool
	booted      time.Time
	leaving     bool
	frozenUntil time.Time
	side        int // hosts on different sides of a cut do not hear each other
	excused     time.Time
	told        time.Time // first answer with the limit, zero before
	demand      float64   // requests per second that it would send to the server
	owed        float64
}

// message is a heartbeat to a group of hosts, or an answer to a host, on its way.
type message struct {
	from, to int
	side     int
	reports  []limit.Report
	answer   bool
	rate     limit.Rate
	sentAt   time.Time
}

// arrival is a request at the server.
type arrival struct {
	at   time.Time
	host int
}

// simulation is a fleet that sends to one server, whose limit may change.
type simulation struct {
	random   *rand.Rand
	start    time.Time
	now      time.Time
	hosts    []*simHost
	onWay    map[int64][]message // by tick
	server   limit.Server
	rate     limit.Rate
	arrivals []arrival
	counted  []time.Time // arrivals that the promise counts
	hasty    int         // requests of hosts that know the limit, but have just started
	loss     float64     // part of the heartbeats that do not arrive
}

func newSimulation(seed uint64, hosts int, demand float64) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), start: time.UnixMilli(1_800_000_000_000), onWay: map[int64][]message{},
		server: limit.Server{ID: "s-1", Start: 1, Region: "region-0"},
	}
	s.now = s.start
	for i := range hosts {
		h := &simHost{
			index: i, name: ident.Host(fmt.Sprintf("host-%d", i)), region: ident.Region(fmt.Sprintf("region-%d", i%regions)), demand: demand,
			phase: time.Duration(s.random.Int64N(int64(heartbeatInterval))).Truncate(tick),
		}
		s.hosts = append(s.hosts, h)
		s.boot(h)
	}
	return s
}

// boot starts the process of a host.
func (s *simulation) boot(h *simHost) {
	h.limiter = limit.New(h.name, s.now, s.random.Float64)
	h.heard = make([]time.Time, maxHosts)
	h.up, h.leaving, h.told, h.booted = true, false, time.Time{}, s.now
	s.excuse(h, s.now)
}

// excuse leaves out what the host sends until the stability time after a disturbance of it has ended.
func (s *simulation) excuse(h *simHost, ends time.Time) {
	if until := ends.Add(stability); until.After(h.excused) {
		h.excused = until
	}
}

func (s *simulation) kill(h *simHost) { h.up = false }

func (s *simulation) freeze(h *simHost, d time.Duration) {
	h.frozenUntil = s.now.Add(d)
	s.excuse(h, h.frozenUntil)
}

// cut puts hosts on another side, and heal brings all together.
func (s *simulation) cut(hosts []*simHost) {
	for _, h := range hosts {
		h.side = 1
		s.excuse(h, s.now.Add(time.Hour))
	}
}

func (s *simulation) heal() {
	for _, h := range s.hosts {
		if h.side != 0 {
			h.side, h.excused = 0, s.now.Add(stability)
		}
	}
}

func (s *simulation) send(delay time.Duration, m message) {
	at := s.now.Add(delay).UnixNano() / int64(tick)
	s.onWay[at] = append(s.onWay[at], m)
}

// run advances the time, and calls each at every tick.
func (s *simulation) run(d time.Duration, each func()) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(tick) {
		if each != nil {
			each()
		}
		s.deliver()
		for _, h := range s.hosts {
			if h.up && !s.now.Before(h.frozenUntil) {
				s.step(h)
			}
		}
	}
}

func (s *simulation) deliver() {
	key := s.now.UnixNano() / int64(tick)
	list := s.onWay[key]
	delete(s.onWay, key)
	for _, m := range list {
		if m.answer {
			s.receiveAnswer(s.hosts[m.to], m)
			continue
		}
		for i := m.to; i < len(s.hosts); i += groups {
			s.receiveHeartbeat(s.hosts[i], m)
		}
	}
}

func (s *simulation) receiveAnswer(h *simHost, m message) {
	switch {
	case !h.up:
	case s.now.Before(h.frozenUntil):
		s.send(h.frozenUntil.Sub(s.now), m)
	default:
		h.limiter.RecordAnswer(s.now, s.server, m.sentAt, m.rate)
		if m.rate > 0 && h.told.IsZero() {
			h.told = s.now
		}
	}
}

// receiveHeartbeat drops what reaches a host while it is frozen, as hosts do with heartbeats that have queued up.
func (s *simulation) receiveHeartbeat(h *simHost, m message) {
	if h.index == m.from || !h.up || s.now.Before(h.frozenUntil) || m.side != h.side || s.loss > 0 && s.random.Float64() < s.loss {
		return
	}
	h.heard[m.from] = s.now
	h.limiter.RecordReports(s.now, s.hosts[m.from].name, m.reports)
}

func (s *simulation) step(h *simHost) {
	if s.now.Sub(s.start)%heartbeatInterval == h.phase {
		s.heartbeat(h)
	}
	h.owed += h.demand * tick.Seconds()
	for ; h.owed >= 1; h.owed-- {
		if h.limiter.Take(s.now, s.server) {
			s.request(h)
		}
	}
}

func (s *simulation) heartbeat(h *simHost) {
	var active []limit.Host
	for _, other := range s.hosts {
		if other == h && !h.leaving || other != h && s.now.Sub(h.heard[other.index]) <= heartbeatTimeout {
			active = append(active, limit.Host{Name: other.name, Region: other.region})
		}
	}
	h.limiter.SetHosts(s.now, active)
	h.limiter.Retain(s.now, func(ident.BackendServer, int64) bool { return true })
	if h.leaving {
		return
	}
	reports := h.limiter.Reports(s.now)
	for group := range groups {
		s.send(s.delay(maxDelay), message{from: h.index, to: group, side: h.side, reports: reports})
	}
}

func (s *simulation) delay(most time.Duration) time.Duration {
	return max(tick, time.Duration(s.random.Int64N(int64(most))))
}

func (s *simulation) request(h *simHost) {
	s.arrivals = append(s.arrivals, arrival{s.now, h.index})
	if _, limited := h.limiter.Named(s.server); limited && s.now.Sub(h.booted) < justStarted {
		s.hasty++
	}
	if told := !h.told.IsZero() && s.now.Sub(h.told) >= toldFor; told && s.now.After(h.excused) {
		s.counted = append(s.counted, s.now)
	}
	s.send(50*time.Millisecond+s.delay(400*time.Millisecond), message{to: h.index, answer: true, rate: s.rate, sentAt: s.now})
}

// mostCounted returns the largest number of counted requests in one window that begins at a time or later.
func (s *simulation) mostCounted(from time.Time) int {
	most, first := 0, 0
	for i, at := range s.counted {
		for at.Sub(s.counted[first]) >= window || s.counted[first].Before(from) && first < i {
			first++
		}
		if !s.counted[first].Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// sentSince returns the number of requests from a time on.
func (s *simulation) sentSince(from time.Time) int {
	i, _ := slices.BinarySearchFunc(s.arrivals, from, func(a arrival, t time.Time) int { return a.at.Compare(t) })
	return len(s.arrivals) - i
}

// scenarios are what happens to the hosts after the limit was named. Each lasts 30 s.
var scenarios = map[string]func(s *simulation){
	"calm": func(s *simulation) { s.run(30*time.Second, nil) },
	"hosts restart in turn": func(s *simulation) {
		for i := range 6 {
			h := s.hosts[i*len(s.hosts)/6]
			h.leaving = true
			s.run(2*time.Second, nil)
			s.kill(h)
			s.run(time.Second, nil)
			s.boot(h)
			s.run(2*time.Second, nil)
		}
	},
	"half killed at once": func(s *simulation) {
		s.run(5*time.Second, nil)
		for _, h := range s.hosts[:len(s.hosts)/2] {
			s.kill(h)
		}
		s.run(8*time.Second, nil)
		for _, h := range s.hosts[:len(s.hosts)/2] {
			s.boot(h)
		}
		s.run(17*time.Second, nil)
	},
	"the server's region is cut": func(s *simulation) {
		s.run(5*time.Second, nil)
		var region []*simHost
		for _, h := range s.hosts {
			if h.region == s.server.Region {
				region = append(region, h)
			}
		}
		s.cut(region)
		s.run(10*time.Second, nil)
		s.heal()
		s.run(15*time.Second, nil)
	},
	"half of the heartbeats lost": func(s *simulation) {
		s.loss = 0.5
		s.run(30*time.Second, nil)
	},
	"hosts freeze": func(s *simulation) {
		s.run(30*time.Second, func() {
			if s.random.IntN(300) == 0 {
				s.freeze(s.hosts[s.random.IntN(len(s.hosts))], 3*time.Second)
			}
		})
	},
	"everything": func(s *simulation) {
		s.run(30*time.Second, func() {
			h := s.hosts[s.random.IntN(len(s.hosts))]
			switch s.random.IntN(1500) {
			case 0:
				s.freeze(h, 2*time.Second)
			case 1, 2:
				s.kill(h)
			case 3:
				s.cut([]*simHost{h})
			case 4:
				s.heal()
			case 5, 6, 7:
				if !h.up {
					s.boot(h)
				}
			}
		})
	},
}

// inCI names the scenarios that CI plays with the largest fleet.
var inCI = map[string]bool{"everything": true, "the server's region is cut": true}

// seedCount returns how many seeds are played: JAYSHIFT_SEEDS, a tenth of it for the largest fleets, or else one, and none
// for the largest fleets that CI does not play.
func seedCount(t *testing.T, hosts int, inCI bool) int {
	t.Helper()
	text := os.Getenv("JAYSHIFT_SEEDS")
	if text == "" {
		if hosts == maxHosts && !inCI {
			return 0
		}
		return 1
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	if hosts == maxHosts {
		return max(1, n/10)
	}
	return n
}

// TestServersGetNoMoreThanTheyName plays fleets whose hosts would each send far more than the server takes. From the
// stability time on, told and undisturbed hosts together stay within the promise.
func TestServersGetNoMoreThanTheyName(t *testing.T) {
	for name, scenario := range scenarios {
		for _, hosts := range []int{3, 10, 300} {
			for _, rate := range []limit.Rate{0.3, 3.1, 40, 600} {
				seeds := seedCount(t, hosts, inCI[name] && rate == 3.1)
				t.Run(fmt.Sprintf("%s/%d hosts/%v", name, hosts, rate), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					for seed := range seeds {
						s := newSimulation(uint64(seed), hosts, max(20, 5*float64(rate)/float64(hosts)))
						s.run(6*time.Second, nil)
						s.rate = rate
						namedAt := s.now
						scenario(s)
						most := s.mostCounted(namedAt.Add(stability))
						allowed := overshoot*float64(rate)*window.Seconds() + allowance
						if float64(most) > allowed {
							t.Errorf("seed %d: %d requests in %s, allowed %.0f", seed, most, window, allowed)
						}
						if name == "calm" {
							sent := float64(s.sentSince(s.now.Add(-20*time.Second))) / 20
							is.True(sent <= float64(rate)*1.02) // no more than named
							is.True(sent >= 0.7*float64(rate))  // and not much less
						}
					}
				})
			}
		}
	}
}

// TestReturningHostsWait checks that many hosts that start at once do not send to a server in need before they know each
// other.
func TestReturningHostsWait(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 10, 60} {
		is := is.New(t)
		s := newSimulation(4, hosts, 20)
		s.run(5*time.Second, nil)
		s.rate = 3.1
		s.run(5*time.Second, nil)
		for _, h := range s.hosts[1:] {
			s.kill(h)
		}
		s.run(3*time.Second, nil)
		for _, h := range s.hosts[1:] {
			s.boot(h)
		}
		s.run(6*time.Second, nil)
		is.Equal(s.hasty, 0)
	}
}

// TestLimitNamedAtTheStart checks that hosts that have all just started, and know of no other, keep to a limit.
func TestLimitNamedAtTheStart(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 300} {
		is := is.New(t)
		s := newSimulation(1, hosts, 20)
		s.rate = 3.1
		for _, h := range s.hosts {
			h.excused = s.start
		}
		s.run(15*time.Second, nil)
		is.True(float64(s.mostCounted(s.start.Add(stability))) <= overshoot*3.1*window.Seconds()+allowance)
	}
}

// TestLiftedLimit checks that all hosts send freely again soon after a server names no limit any more.
func TestLiftedLimit(t *testing.T) {
	t.Parallel()
	for _, hosts := range []int{3, 300} {
		is := is.New(t)
		s := newSimulation(2, hosts, 20)
		s.run(5*time.Second, nil)
		s.rate = 3.1
		s.run(10*time.Second, nil)
		s.rate = 0
		s.run(4*time.Second, nil)
		is.True(s.sentSince(s.now.Add(-time.Second)) >= hosts*19)
	}
}

// TestIdleSenders checks that a server's limit is found to have ended although the hosts that are to send to it have no
// requests for it, and that the trials of the others stay within the limit.
func TestIdleSenders(t *testing.T) {
	t.Parallel()
	const rate = 3.1
	for _, hosts := range []int{3, 10, 300} {
		if seedCount(t, hosts, false) == 0 {
			continue
		}
		is := is.New(t)
		s := newSimulation(3, hosts, 20)
		s.run(5*time.Second, nil)
		s.rate = rate
		s.run(5*time.Second, nil)
		for _, h := range s.hosts {
			if h.region == s.server.Region {
				h.demand = 0
			}
		}
		from := s.now.Add(stability)
		s.run(60*time.Second, nil)
		is.True(float64(s.mostCounted(from)) <= rate*window.Seconds())
		s.rate = 0
		s.run(60*time.Second, nil)
		is.True(s.sentSince(s.now.Add(-time.Second)) >= hosts*12)
	}
}

// TestNewProcessHasNoLimit checks that a limit ends with the process that has named it.
func TestNewProcessHasNoLimit(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	l := limit.New("a", now, func() float64 { return 0 })
	old := limit.Server{ID: "s", Start: 1, Region: "r"}
	l.RecordAnswer(now, old, now, 2)
	is.True(l.Wait(now, old) > 0)
	is.Equal(l.Wait(now, limit.Server{ID: "s", Start: 2, Region: "r"}), time.Duration(0))
}

// TestOldAnswerDoesNotLift checks that an answer to a request from before the limit was named does not end it.
func TestOldAnswerDoesNotLift(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_800_000_000_000)
	l := limit.New("a", now, func() float64 { return 0 })
	s := limit.Server{ID: "s", Start: 1, Region: "r"}
	l.RecordAnswer(now, s, now.Add(-time.Second), 2)
	l.RecordAnswer(now.Add(time.Second), s, now.Add(-time.Second), 0)
	_, limited := l.Named(s)
	is.True(limited)
	l.RecordAnswer(now.Add(2*time.Second), s, now.Add(time.Second), 0)
	_, limited = l.Named(s)
	is.True(!limited)
}
