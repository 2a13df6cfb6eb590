package rates_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/quota"
	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/io/rates"
)

const (
	hostCount   = 60
	regionCount = 3
	isolation   = 1500 * time.Millisecond
	takeover    = 3 * time.Second
	leaseTime   = 3 * time.Second
	slack       = 20.0
	step        = 50 * time.Millisecond
	heartbeat   = 500 * time.Millisecond
	window      = 5 * time.Second
	team        = ident.Team("north")
	aim         = 0.001 // part of the requests within the rate that may be refused
)

var (
	small   = quota.Rate{PerSecond: 8, Burst: 16}
	errDead = errors.New("dead")
)

// fleet is hosts with their rates, in virtual time; calls and heartbeats take no time.
type fleet struct {
	now            time.Time
	random         *rand.Rand
	rate           quota.Rate
	books          []*quota.Limiter
	rates          []*rates.Rates
	died           []time.Time
	asked, refused int
	passed         []time.Time
}

func name(i int) ident.Host { return ident.Host(fmt.Sprint(i)) }

func newFleet(rate quota.Rate, seed uint64) *fleet {
	f := &fleet{now: time.UnixMilli(1_000_000), random: rand.New(rand.NewPCG(seed, 1)), rate: rate, died: make([]time.Time, hostCount)}
	var all []ident.Host
	for i := range hostCount {
		all = append(all, name(i))
	}
	for i := range hostCount {
		b := quota.New(isolation, takeover, slack)
		b.SetRates(f.now, map[ident.Team]quota.Rate{team: rate})
		b.SetPeers(f.now, append(append([]ident.Host{}, all[:i]...), all[i+1:]...))
		f.books = append(f.books, b)
		f.rates = append(f.rates, rates.New(rates.Seams{
			Self: name(i), Book: b, Near: func() []ident.Host { return f.near(i) }, Call: f.call, Now: func() time.Time { return f.now },
			Cast: func(host ident.Host, fr wire.Frame) error {
				_, err := f.call(context.Background(), host, fr)
				return err
			},
			Log: slog.New(slog.DiscardHandler),
		}))
	}
	return f
}

// name tells the hosts that live which hosts do.
func (f *fleet) name() {
	for i, b := range f.books {
		var others []ident.Host
		for j := range f.books {
			if j != i && f.died[j].IsZero() {
				others = append(others, name(j))
			}
		}
		b.SetPeers(f.now, others)
	}
}

// near returns the hosts of a region that were heard of lately.
func (f *fleet) near(self int) []ident.Host {
	var hosts []ident.Host
	for i := self % regionCount; i < hostCount; i += regionCount {
		if i != self && (f.died[i].IsZero() || f.now.Sub(f.died[i]) < isolation) {
			hosts = append(hosts, name(i))
		}
	}
	return hosts
}

func (f *fleet) call(_ context.Context, host ident.Host, fr wire.Frame) (wire.Frame, error) {
	var i int
	if _, err := fmt.Sscan(string(host), &i); err != nil || !f.died[i].IsZero() {
		return wire.Frame{}, errDead
	}
	if answer := f.rates[i].Answer(fr); answer != nil {
		return *answer, nil
	}
	return wire.Frame{}, nil
}

// run lets requests come at a rate of so many a second, each at any host that lives.
func (f *fleet) run(d time.Duration, perSecond float64) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i := range hostCount {
			if f.died[i].IsZero() {
				f.beat(i)
			}
		}
		for due := perSecond * step.Seconds(); due > 0; due-- {
			if f.random.Float64() < due {
				f.request()
			}
		}
	}
}

func (f *fleet) beat(i int) {
	if f.now.UnixMilli()%heartbeat.Milliseconds() != int64(i)*step.Milliseconds()%heartbeat.Milliseconds() {
		return
	}
	names := []ident.Team{team}
	uses := quota.Decode(names, quota.Encode(names, f.books[i].ReportUsage(f.now)))
	for to, b := range f.books {
		if to != i {
			b.RecordPeerUsage(f.now, name(i), uses)
		}
	}
}

func (f *fleet) request() {
	i := f.random.IntN(hostCount)
	for !f.died[i].IsZero() {
		i = f.random.IntN(hostCount)
	}
	f.asked++
	if _, ok, _ := f.rates[i].Take(context.Background(), team); ok {
		f.passed = append(f.passed, f.now)
		return
	}
	f.refused++
}

func (f *fleet) bound() float64 { return (f.rate.PerSecond*window.Seconds()+f.rate.Burst)*1.1 + slack }

// TestSmallTeamOnManyHosts spreads a team that stays within its rate over many more hosts than its burst has requests.
func TestSmallTeamOnManyHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	asked, refused := 0, 0
	for seed := range uint64(3) {
		f := newFleet(small, seed)
		f.run(6*time.Second, 0.6*small.PerSecond)
		f.asked, f.refused = 0, 0
		f.run(20*time.Second, 0.6*small.PerSecond)
		asked, refused = asked+f.asked, refused+f.refused
	}
	t.Logf("%d of %d refused", refused, asked)
	is.True(float64(refused) <= aim*float64(asked))
}

// TestSuddenDemand lets demand rise to many times the rate at all hosts at once, and kills hosts meanwhile.
func TestSuddenDemand(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		for _, rate := range []quota.Rate{small, {PerSecond: 3, Burst: 6}, {PerSecond: 20, Burst: 40}, {PerSecond: 60, Burst: 120}} {
			f := newFleet(rate, seed)
			f.run(4*time.Second, 0.6*rate.PerSecond)
			f.run(6*time.Second, 20*rate.PerSecond)
			for range hostCount / 2 {
				f.died[f.random.IntN(hostCount)] = f.now
			}
			f.run(4*time.Second, 20*rate.PerSecond)
			if float64(fake.MostIn(window, f.passed)) > f.bound() {
				t.Errorf("seed %d, rate %.0f: %d in a window, at most %.0f", seed, rate.PerSecond, fake.MostIn(window, f.passed), f.bound())
			}
		}
	}
}

// TestAfterKeepersDie holds refusals to the same aim from two seconds after the leases of half of the hosts ended.
func TestAfterKeepersDie(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	asked, refused := 0, 0
	for seed := range uint64(3) {
		f := newFleet(small, seed)
		f.run(6*time.Second, 0.6*small.PerSecond)
		for i := range hostCount / 2 {
			f.died[2*i] = f.now
		}
		f.run(leaseTime, 0.6*small.PerSecond)
		f.name()
		f.run(2*time.Second, 0.6*small.PerSecond)
		f.asked, f.refused = 0, 0
		f.run(10*time.Second, 0.6*small.PerSecond)
		asked, refused = asked+f.asked, refused+f.refused
	}
	t.Logf("%d of %d refused", refused, asked)
	is.True(float64(refused) <= aim*float64(asked))
}
