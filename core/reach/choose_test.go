package reach_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/reach"
)

const (
	heartbeatDelay = 700 * time.Millisecond // until peers know that a host is cut off, also through relays
	dialTimeout    = 400 * time.Millisecond
	hop            = 55 * time.Millisecond // to another region; 2 ms in the own one
	tick           = 20 * time.Millisecond
)

// fleet is a number of hosts in virtual time, some of which reach no backend server between cutFrom and cutUntil.
type fleet struct {
	random   *rand.Rand
	now      time.Time
	cutUntil time.Time
	hosts    []*simulatedHost
	forwards bool // the broken variant does not forward
}

type simulatedHost struct {
	reach.Host
	detector  *reach.Detector
	cut       bool      // has no path to any server
	told      bool      // what its peers know of it
	toldAt    time.Time // when they will know otherwise
	forwarded int       // requests that others have forwarded to it
}

// outcome counts first tries.
type outcome struct{ sent, served, late, crossed, homeless int }

func newFleet(hosts int, random *rand.Rand) *fleet {
	f := &fleet{random: random, now: time.UnixMilli(1_700_000_000_000), forwards: true}
	for i := range hosts {
		h := &simulatedHost{detector: reach.New(), Host: reach.Host{
			Name: ident.Host(fmt.Sprintf("h%d", i)), Region: ident.Region(fmt.Sprintf("r%d", i%3)), Zone: ident.AvailabilityZone(fmt.Sprintf("z%d", i%6)),
		}}
		h.detector.SetKnown(50)
		h.detector.OnChange = func(bool) { h.toldAt = f.now.Add(heartbeatDelay) }
		f.hosts = append(f.hosts, h)
	}
	return f
}

// reaches makes a host try a server and reports whether it answers. Nothing tells the host before dialTimeout.
func (f *fleet) reaches(h *simulatedHost) bool {
	if h.cut && f.now.Before(f.cutUntil) {
		h.detector.RecordUnopened(f.now, ident.BackendServer(fmt.Sprintf("s%d", f.random.IntN(50))))
		return false
	}
	h.detector.RecordAnswer(f.now, true)
	return true
}

// probe makes a host probe servers.
func (f *fleet) probe(h *simulatedHost) {
	for range reach.ProbeSize {
		if f.reaches(h) {
			return
		}
		h.detector.RecordProbe(f.now, ident.BackendServer(fmt.Sprintf("s%d", f.random.IntN(50))), false)
	}
}

// request plays a first try at a host and returns the time that it took, and whether it was served, in which region.
func (f *fleet) request(h *simulatedHost, q reach.Query) (took time.Duration, at *simulatedHost) {
	for unopened := 0; !h.detector.CutOff() && unopened < 2; unopened++ {
		if f.reaches(h) {
			return took, h
		}
		took += dialTimeout
	}
	for range 2 {
		var known []reach.Host
		for _, p := range f.hosts {
			if p != h {
				known = append(known, reach.Host{Name: p.Name, Zone: p.Zone, Region: p.Region, CutOff: p.told})
			}
		}
		chosen, ok := reach.Choose(h.Host, known, q, f.random.IntN)
		if !ok || !f.forwards {
			return took, nil
		}
		q.Tried = append(q.Tried, chosen.Name)
		peer := f.hosts[0]
		for _, p := range f.hosts {
			if p.Name == chosen.Name {
				peer = p
			}
		}
		peer.forwarded++
		took += 2 * time.Millisecond
		if peer.Region != h.Region {
			took += hop
		}
		if peer.detector.CutOff() {
			continue
		}
		if f.reaches(peer) {
			return took, peer
		}
		took += dialTimeout
	}
	return took, nil
}

// play sends requests to all hosts for the time d and counts those at hosts that are cut off, and those at others.
func (f *fleet) play(d time.Duration) (cut, others outcome) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		for _, h := range f.hosts {
			if !h.toldAt.IsZero() && !f.now.Before(h.toldAt) {
				h.told, h.toldAt = h.detector.CutOff(), time.Time{}
			}
			if h.detector.TakeProbe(f.now) {
				f.probe(h)
			}
			if f.random.IntN(4) > 0 {
				continue
			}
			o := &others
			if h.cut && f.now.Before(f.cutUntil) {
				o = &cut
			}
			q := reach.Query{Restricted: f.random.IntN(4) == 0, AllowedRegions: []ident.Region{h.Region}}
			took, at := f.request(h, q)
			o.sent++
			switch {
			case at == nil:
				continue
			case at.Region != h.Region && q.Restricted:
				o.homeless++
			case at.Region != h.Region:
				o.crossed++
			}
			o.served++
			if took > time.Second {
				o.late++
			}
		}
	}
	return cut, others
}

// cutSome cuts the hosts off that match, for the time d, and returns how many there are.
func (f *fleet) cutSome(d time.Duration, match func(int, *simulatedHost) bool) int {
	n := 0
	for i, h := range f.hosts {
		if h.cut = match(i, h); h.cut {
			n++
		}
	}
	f.cutUntil = f.now.Add(d)
	return n
}

// TestCallersAreServedByPeers plays cuts of one host, of several, of a zone and of a region with 3, 10 and 300 hosts. Later than
// stability after the start of a cut, first tries at hosts that are cut off must be served as others are, unless no host of
// their homes reaches a server.
func TestCallersAreServedByPeers(t *testing.T) {
	const stability = 4 * time.Second
	for name, match := range map[string]func(int, *simulatedHost) bool{
		"one host": func(i int, _ *simulatedHost) bool { return i == 0 },
		"a third":  func(i int, _ *simulatedHost) bool { return i%6 < 2 && i%3 != 2 },
		"a zone":   func(_ int, h *simulatedHost) bool { return h.Zone == "z1" },
		"a region": func(_ int, h *simulatedHost) bool { return h.Region == "r2" },
	} {
		for _, hosts := range []int{3, 10, 300} {
			t.Run(fmt.Sprintf("%s of %d", name, hosts), func(t *testing.T) {
				is := is.New(t)
				f := newFleet(hosts, rand.New(rand.NewPCG(uint64(hosts), 3)))
				calm, _ := f.play(2 * time.Second)
				is.Equal(calm.sent, 0)
				for _, h := range f.hosts {
					is.Equal(h.forwarded, 0) // nothing is forwarded in calm
				}
				f.cutSome(10*time.Second, match)
				f.play(stability)
				cut, others := f.play(6 * time.Second)
				t.Logf("at hosts that are cut off %+v, at others %+v", cut, others)
				is.Equal(others.served, others.sent)
				is.Equal(cut.homeless, 0)
				if !f.regionLost() {
					is.True(cut.sent-cut.served <= 10+cut.sent/50)
					is.Equal(cut.crossed, 0) // the own region is kept to
				}
				is.True(3*cut.served >= 2*cut.sent)
				is.True(cut.late <= cut.sent/50)
				f.play(time.Second)
				for _, h := range f.hosts {
					is.True(!h.detector.CutOff())
				}
			})
		}
	}
}

// regionLost reports whether all hosts of a region are cut off.
func (f *fleet) regionLost() bool {
	reached := map[ident.Region]bool{}
	for _, h := range f.hosts {
		reached[h.Region] = reached[h.Region] || !h.cut
	}
	for _, ok := range reached {
		if !ok {
			return true
		}
	}
	return false
}

// TestNotForwardedIsNoticed checks that the test above fails for hosts that do not forward.
func TestNotForwardedIsNoticed(t *testing.T) {
	is := is.New(t)
	f := newFleet(10, rand.New(rand.NewPCG(1, 3)))
	f.forwards = false
	f.cutSome(10*time.Second, func(i int, _ *simulatedHost) bool { return i == 0 })
	f.play(4 * time.Second)
	cut, _ := f.play(6 * time.Second)
	is.True(3*cut.served < 2*cut.sent)
}
