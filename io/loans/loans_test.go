package loans_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/link"
	"jayshift/io/loans"
)

const (
	hostCount        = 9
	regionCount      = 3
	sameRegionDelay  = 500 * time.Microsecond
	crossRegionDelay = 27500 * time.Microsecond // 55 ms round trip
	warmup           = 3 * time.Second
	teamCount        = 4
	reassignDelay    = 8 * time.Second         // from the failure of a host to the new seat table
	unreachableDelay = 1500 * time.Millisecond // time after which a failed host is no longer asked
)

// network connects hosts in virtual time, with the latencies of users' deployments.
type network struct {
	hosts  []*node
	mu     sync.Mutex
	diedAt map[int]time.Time
	static bool // no loans: each host uses only its equal, static part of the limits
}

type node struct {
	index    int
	registry *share.Registry
	loans    *loans.Limiter
}

func hostName(i int) ident.Host { return ident.Host(fmt.Sprintf("h%d", i)) }

func (n *network) delay(a, b int) time.Duration {
	if a%regionCount == b%regionCount {
		return sameRegionDelay
	}
	return crossRegionDelay
}

func (n *network) isDead(i int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.diedAt[i].IsZero()
}

// reachableHosts returns the hosts of a region that are alive or failed less than unreachableDelay ago.
func (n *network) reachableHosts(region int) []ident.Host {
	var list []ident.Host
	n.mu.Lock()
	defer n.mu.Unlock()
	for i := region; i < hostCount; i += regionCount {
		if at, dead := n.diedAt[i]; !dead || time.Since(at) < unreachableDelay {
			list = append(list, hostName(i))
		}
	}
	return list
}

func (n *network) call(from int) func(context.Context, ident.Host, wire.Frame) (wire.Frame, error) {
	return func(ctx context.Context, to ident.Host, f wire.Frame) (wire.Frame, error) {
		var peer int
		_, _ = fmt.Sscanf(string(to), "h%d", &peer)
		if n.static {
			return wire.Frame{}, link.ErrNoLink
		}
		d := n.delay(from, peer)
		time.Sleep(d)
		if n.isDead(peer) {
			<-ctx.Done()
			return wire.Frame{}, link.ErrClosed
		}
		var answer *wire.Frame
		switch {
		case f.LoanAsk != nil:
			answer = n.hosts[peer].loans.Lend(ctx, hostName(from), f.LoanAsk)
		case f.LoanReturn != nil:
			n.hosts[peer].loans.AcceptReturn(hostName(from), f.LoanReturn)
			answer = &wire.Frame{}
		}
		time.Sleep(d)
		return *answer, nil
	}
}

// newNetwork returns a network of hosts that own equally many partitions and share the teams' limits.
func newNetwork(limits []share.Limit, static bool) *network {
	n := &network{diedAt: map[int]time.Time{}, static: static}
	t := newTable(hostCount)
	for i := range hostCount {
		registry := share.NewRegistry(hostName(i), loans.MaxTerm)
		registry.SetTable(time.Now(), t, 1)
		registry.SetLimits(time.Now(), limits)
		l := loans.New(loans.Deps{
			Self: hostName(i), Registry: registry, Call: n.call(i), Now: time.Now,
			RegionHosts: func() []ident.Host { return n.reachableHosts(i % regionCount) },
			OtherRegions: func() [][]ident.Host {
				var list [][]ident.Host
				for r := range regionCount {
					if r != i%regionCount && len(n.reachableHosts(r)) > 0 {
						list = append(list, n.reachableHosts(r))
					}
				}
				return list
			},
			LeaseDeadline: func(now time.Time) time.Time { return now.Add(4 * time.Second) },
		})
		n.hosts = append(n.hosts, &node{index: i, registry: registry, loans: l})
	}
	return n
}

// reassign assigns the failed host's partitions to the others, as the controller does after the host's lease has ended.
func (n *network) reassign() {
	t := newTable(hostCount)
	t.Generation = 2
	for i := range t.Partitions {
		if t.Partitions[i].Owner == string(hostName(hostCount-1)) {
			t.Partitions[i] = wire.Partition{Owner: string(hostName(i / hostCount % (hostCount - 1))), Since: 2}
		}
	}
	for _, h := range n.hosts[:hostCount-1] {
		h.registry.SetTable(time.Now(), t, 100)
	}
}

func newTable(hosts int) wire.SeatTable {
	t := seat.NewTable()
	t.Generation = 1
	for i := range t.Partitions {
		t.Partitions[i].Owner = string(hostName(i % hosts))
	}
	for i := range hosts {
		t.Seats = append(t.Seats, wire.Seat{Host: string(hostName(i))})
	}
	return t
}

// referenceLimiter is an exact central token bucket. A request that it admits is within the rate and should not be refused.
type referenceLimiter struct {
	mu                  sync.Mutex
	rate, burst, tokens float64
	updatedAt           time.Time
}

func (l *referenceLimiter) take(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens = min(l.burst, l.tokens+l.rate*now.Sub(l.updatedAt).Seconds())
	l.updatedAt = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// teamStats counts one team's requests. Except for maxOverrun, requests during warmup are not counted.
type teamStats struct {
	offered, withinRate, wrongRefusals int
	waitTime                           time.Duration
	refused                            int
	refusalTime                        time.Duration // total time until refusals
	maxOverrun                         float64       // largest number of tokens taken beyond the limit
	wrongBySecond                      [runTime/time.Second + 1]int
}

// scenario is a load on the hosts.
type scenario struct {
	name   string
	load   func(team int) float64 // offered load as a fraction of the team's rate
	skew   float64                // fraction of the requests that go to the first fifth of the hosts, in addition to their equal part
	killAt time.Duration
}

const (
	teamRate  = 100.0
	teamBurst = 20.0
	runTime   = 30 * time.Second
	firstSeed = 7
	seedCount = 3
)

func teamLimits() []share.Limit {
	var list []share.Limit
	for i := range teamCount {
		list = append(list, share.Limit{
			Quantity: share.TeamQuantity(ident.Team(fmt.Sprintf("t%d", i))), Rate: share.Micro(teamRate), Burst: share.Micro(teamBurst),
			Parts: int(teamBurst / 2), Created: 2,
		})
	}
	return list
}

// runScenario runs a scenario in virtual time and returns the statistics of each team after warmup.
func runScenario(t *testing.T, s scenario, static bool, seed uint64) []teamStats {
	stats := make([]teamStats, teamCount)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		n := newNetwork(teamLimits(), static)
		for _, h := range n.hosts {
			go h.loans.Run(ctx)
		}
		if s.killAt > 0 {
			time.AfterFunc(s.killAt, func() {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.diedAt[hostCount-1] = time.Now()
			})
			time.AfterFunc(s.killAt+reassignDelay, func() { n.reassign() })
		}
		var wait sync.WaitGroup
		for team := range teamCount {
			wait.Go(func() { n.sendRequests(ctx, team, s, seed, &stats[team]) })
		}
		wait.Wait()
		cancel()
		time.Sleep(time.Second) // until the calls in flight have ended
	})
	return stats
}

func (n *network) sendRequests(ctx context.Context, team int, s scenario, seed uint64, stats *teamStats) {
	q := share.TeamQuantity(ident.Team(fmt.Sprintf("t%d", team)))
	rng := rand.New(rand.NewPCG(seed, uint64(team)))
	reference := &referenceLimiter{rate: teamRate, burst: teamBurst, tokens: teamBurst, updatedAt: time.Now()}
	balance := &referenceLimiter{rate: teamRate, burst: 1e9, tokens: teamBurst, updatedAt: time.Now()}
	start := time.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for {
		time.Sleep(time.Duration(rng.ExpFloat64() / (s.load(team) * teamRate) * float64(time.Second)))
		if time.Since(start) > runTime {
			break
		}
		host := n.pickHost(rng, s)
		measured := time.Since(start) > warmup
		withinRate := reference.take(time.Now())
		wait.Go(func() {
			sent := time.Now()
			err := n.hosts[host].loans.Take(ctx, q, share.Unit)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && measured {
				stats.waitTime += time.Since(sent)
			}
			if err != nil && measured {
				stats.refused++
				stats.refusalTime += time.Since(sent)
			}
			if err == nil {
				balance.tokens = min(teamBurst, balance.tokens+teamRate*time.Since(balance.updatedAt).Seconds()) - 1
				balance.updatedAt = time.Now()
				stats.maxOverrun = max(stats.maxOverrun, -balance.tokens)
			}
			if !measured {
				return
			}
			stats.offered++
			if withinRate {
				stats.withinRate++
				if err != nil {
					stats.wrongRefusals++
					stats.wrongBySecond[sent.Sub(start)/time.Second]++
				}
			}
		})
	}
	wait.Wait()
}

// pickHost chooses the live host that receives a request.
func (n *network) pickHost(rng *rand.Rand, s scenario) int {
	for {
		host := rng.IntN(hostCount)
		if rng.Float64() < s.skew {
			host = rng.IntN(hostCount / 5)
		}
		if !n.isDead(host) {
			return host
		}
	}
}

var scenarios = []scenario{
	{name: "even", load: func(int) float64 { return 0.9 }},
	{name: "skew-80-20", load: func(int) float64 { return 0.9 }, skew: 0.75},
	{name: "one-team-at-5x", load: func(team int) float64 { return map[bool]float64{true: 5, false: 0.9}[team == 0] }},
	{name: "host-killed", load: func(int) float64 { return 0.9 }, killAt: 8 * time.Second},
}

// maxRefusedRatio is the specified maximum ratio of refused requests to requests within a team's rate.
const maxRefusedRatio = 0.001

// recoveryTime is the specified time after a host failure or a change of load by which refusals are within maxRefusedRatio
// again.
const recoveryTime = 2 * time.Second

// worstRefusedRatio returns the largest ratio of refused requests to requests within the rate of any team that offers less
// than its rate. It counts refusals from the given time on.
func worstRefusedRatio(s scenario, stats []teamStats, from time.Duration) float64 {
	worst := 0.0
	for team, c := range stats {
		if s.load(team) >= 1 {
			continue
		}
		refused := 0
		for _, n := range c.wrongBySecond[from/time.Second:] {
			refused += n
		}
		worst = max(worst, float64(refused)/float64(c.withinRate))
	}
	return worst
}

// checkScenario requires that the first seed and the mean of all seeds stay within maxRefusedRatio, and that no seed
// exceeds the limit.
func checkScenario(t *testing.T, s scenario) {
	t.Helper()
	t.Parallel()
	is := is.New(t)
	from := s.killAt + recoveryTime
	ratioSum := 0.0
	for seed := range uint64(seedCount) {
		stats := runScenario(t, s, false, firstSeed+seed)
		logStats(t, s, false, stats)
		for _, c := range stats {
			is.True(c.maxOverrun <= 0) // never more than rate times window plus burst
		}
		ratio := worstRefusedRatio(s, stats, from)
		is.True(seed > 0 || ratio <= maxRefusedRatio)
		ratioSum += ratio
	}
	is.True(ratioSum/seedCount <= maxRefusedRatio)
}

func TestAimEven(t *testing.T)     { checkScenario(t, scenarios[0]) }
func TestAimSkew(t *testing.T)     { checkScenario(t, scenarios[1]) }
func TestAimLoudTeam(t *testing.T) { checkScenario(t, scenarios[2]) }
func TestAimKill(t *testing.T)     { checkScenario(t, scenarios[3]) }

// TestStaticSplit logs the refusals of an equal, static split, as a baseline for the other scenarios. It runs only if
// JAYSHIFT_MEASURE is set.
func TestStaticSplit(t *testing.T) {
	if os.Getenv("JAYSHIFT_MEASURE") == "" {
		t.Skip("JAYSHIFT_MEASURE is not set")
	}
	for _, s := range scenarios {
		logStats(t, s, true, runScenario(t, s, true, firstSeed))
	}
}

func logStats(t *testing.T, s scenario, static bool, stats []teamStats) {
	worst, best := 0.0, 1.0
	var waitTime time.Duration
	offered := 0
	for team, c := range stats {
		ratio := float64(c.wrongRefusals) / float64(max(c.withinRate, 1))
		if s.load(team) < 1 {
			worst, best = max(worst, ratio), min(best, ratio)
		}
		waitTime += c.waitTime
		offered += c.offered
	}
	bySecond := [runTime/time.Second + 1]int{}
	for _, c := range stats {
		for i, n := range c.wrongBySecond {
			bySecond[i] += n
		}
	}
	refused, refusalTime := 0, time.Duration(0)
	for _, c := range stats {
		refused += c.refused
		refusalTime += c.refusalTime
	}
	t.Logf("%-16s mean time until a refusal %s", s.name, refusalTime/time.Duration(max(refused, 1)))
	t.Logf("%-16s in-rate refusals by second: %v", s.name, bySecond)
	t.Logf("%-16s static=%-5t in-rate refusals: worst team %.2f%%, best team %.2f%%, mean wait %s", s.name, static,
		100*worst, 100*best, waitTime/time.Duration(max(offered, 1)))
}
