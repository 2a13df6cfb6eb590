package moves_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sort"
	"time"

	"jayshift/core/config"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/moves"
	"jayshift/io/store"
)

const (
	hostCount  = 3
	step       = 5 * time.Millisecond
	tickPause  = 250 * time.Millisecond
	leadPause  = time.Second
	linkDelay  = 30 * time.Millisecond
	usualTook  = 5 * time.Millisecond
	leastRate  = 300 // requests a second
	mostRate   = 800
	slowEvery  = 2500 // milliseconds between slow moments of the machine, on average
	slowLasts  = 2500 // milliseconds, at most
	slowFactor = 8    // times the usual latency and delay, at most
	shiftName  = "upgrade"
)

var begun = time.UnixMilli(1_700_000_000_000)

// event is something that happens at a moment of virtual time.
type event struct {
	at time.Time
	do func()
}

// host is one process's part in the move.
type host struct {
	moves    *moves.Moves
	gate     *trial.Gate
	evidence *trial.Evidence
	verdict  wire.Verdict
	known    bool
}

// fleet plays requests, hosts and the store of a move in virtual time, on a machine that is slow now and then.
type fleet struct {
	now      time.Time
	random   *rand.Rand
	events   []event
	hosts    []*host
	stored   store.KV
	snapshot *config.Snapshot
	slow     float64 // factor on latencies and delays
	slowEnds time.Time
	rate     float64 // requests a second
	badRoute string  // route on which the new version always fails
	// end tells how a request on the new version ends.
	end func(at time.Time, share float64) (failed bool, took time.Duration)

	all, fresh int // requests, and those on the new version
	lastFresh  time.Time
}

func newFleet(seed uint64, by time.Duration, trialShare float64) *fleet {
	f := &fleet{now: begun, random: rand.New(rand.NewPCG(seed, 1)), slow: 1}
	f.rate = leastRate + float64(f.random.IntN(mostRate-leastRate))
	f.snapshot = config.New(1, []wire.Resource{
		{Kind: "service", Name: "whistle", Service: &wire.Service{Version: "v1"}},
		{Kind: "shift", Name: shiftName, Shift: &wire.Shift{
			Services: []string{"whistle"}, Versions: map[string]string{"whistle": "v2"},
			By: begun.Add(by).UTC().Format(time.RFC3339), TrialShare: trialShare,
		}},
	})
	for i := range hostCount {
		f.addHost(i)
	}
	return f
}

func (f *fleet) addHost(i int) {
	h := &host{gate: trial.NewGate(), evidence: trial.NewEvidence()}
	f.hosts = append(f.hosts, h)
	h.moves = moves.New(moves.Seams{
		Store: &store.Store{Txn: f.txn}, Log: slog.New(slog.DiscardHandler),
		Snapshot: func() *config.Snapshot { return f.snapshot },
		Verdict:  func(string) (wire.Verdict, bool) { return h.verdict, h.known },
		Gate:     h.gate, Evidence: h.evidence,
		Broadcast: func(fr wire.Frame) int { f.broadcast(h, fr); return hostCount - 1 },
	})
	f.every(tickPause, func() { h.moves.Tick(f.now) })
	if i == 0 {
		f.every(leadPause, func() { h.moves.Lead(context.Background(), f.now) })
	}
}

func (f *fleet) after(d time.Duration, do func()) {
	at := f.now.Add(d)
	i := sort.Search(len(f.events), func(i int) bool { return f.events[i].at.After(at) })
	f.events = append(f.events, event{})
	copy(f.events[i+1:], f.events[i:])
	f.events[i] = event{at, do}
}

// every does something again and again, later than planned while the machine is slow.
func (f *fleet) every(pause time.Duration, do func()) {
	f.after(pause+f.delay(), func() { do(); f.every(pause, do) })
}

// delay is how late a message or a timer is.
func (f *fleet) delay() time.Duration {
	return time.Duration(f.slow * f.random.Float64() * float64(linkDelay))
}

func (f *fleet) broadcast(from *host, fr wire.Frame) {
	for _, h := range f.hosts {
		if h == from {
			continue
		}
		f.after(f.delay(), func() {
			h.evidence.Merge(f.now, fr.Evidence)
			if fr.Trip != nil {
				h.moves.Trip(*fr.Trip)
			}
		})
	}
}

// txn writes the verdict under its condition, and lets the hosts see it later.
func (f *fleet) txn(_ context.Context, compares []store.Compare, writes []store.Write, reads []string) (int64, []store.KV, error) {
	for _, c := range compares {
		if c.Revision != f.stored.ModRevision {
			return 0, nil, store.ErrConflict
		}
	}
	for _, w := range writes {
		f.stored = store.KV{Key: []byte(w.Key), Value: w.Value, ModRevision: f.stored.ModRevision + 1}
		for _, h := range f.hosts {
			f.after(f.delay(), func() {
				h.known = json.Unmarshal(w.Value, &h.verdict) == nil
			})
		}
	}
	if len(reads) == 0 || f.stored.ModRevision == 0 {
		return f.stored.ModRevision, nil, nil
	}
	return f.stored.ModRevision, []store.KV{f.stored}, nil
}

// request plays one request at one host.
func (f *fleet) request() {
	h := f.hosts[f.random.IntN(len(f.hosts))]
	subject := trial.SeriesKey{Service: "whistle", Version: "v1", Route: []string{"/read/", "/write/"}[f.random.IntN(2)]}
	failed, took := false, usualTook
	f.all++
	if version, ok := h.gate.Pass("whistle"); ok {
		subject.Version = version
		f.fresh++
		f.lastFresh = f.now
		failed, took = f.end(f.now, h.verdict.Shares["whistle"])
		failed = failed || subject.Route == f.badRoute
	}
	took = time.Duration(f.slow * (0.8 + 0.8*f.random.Float64()) * float64(took))
	f.after(took, func() { h.evidence.Add(f.now, subject, failed, took) })
}

// weather lets the machine turn slow and quick again.
func (f *fleet) weather() {
	if f.slow > 1 {
		if f.now.After(f.slowEnds) {
			f.slow = 1
		}
		return
	}
	if f.random.Float64() < float64(step)/float64(slowEvery*time.Millisecond) {
		f.slow = 1 + f.random.Float64()*(slowFactor-1)
		f.slowEnds = f.now.Add(time.Duration(f.random.IntN(slowLasts)) * time.Millisecond)
	}
}

// run plays until the end.
func (f *fleet) run(until func() bool) {
	for !until() {
		f.now = f.now.Add(step)
		f.weather()
		for len(f.events) > 0 && !f.events[0].at.After(f.now) {
			e := f.events[0]
			f.events = f.events[1:]
			e.do()
		}
		// A slow machine also serves fewer requests.
		for due := f.rate * step.Seconds() / f.slow; f.random.Float64() < due; due-- {
			f.request()
		}
	}
}

func (f *fleet) ended() (wire.Verdict, bool) {
	var v wire.Verdict
	if json.Unmarshal(f.stored.Value, &v) != nil {
		return v, false
	}
	return v, v.State == moves.Done || v.State == moves.Reverted
}

func (f *fleet) freshPart() float64 { return float64(f.fresh) / float64(max(f.all, 1)) }
