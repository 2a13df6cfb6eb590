package share_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayshift/core/ident"
	"jayshift/core/share"
)

const (
	tick                = 5 * time.Millisecond
	maxClockDrift       = 0.01 // largest relative error of a clock's rate
	lenderMarginDivisor = 50   // a lender extends a loan's term by one part in this many, twice maxClockDrift
	rateUnit            = share.Unit
)

var epoch = time.Unix(1_800_000_000, 0)

// referenceLimiter is an exact central limiter: one token bucket that counts every admission in true time.
type referenceLimiter struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// admit returns false if the admissions in some window exceed rate times window plus burst.
func (l *referenceLimiter) admit(now time.Duration, n float64) bool {
	l.tokens = min(l.burst, l.tokens+l.rate*(now-l.at).Seconds())
	l.at = now
	l.tokens -= n
	return l.tokens >= -1e-6
}

type testHost struct {
	name        ident.Host
	rate        *share.Rate
	clockRate   float64
	pausedUntil time.Duration // true time until which the host is paused
	parts       int64         // parts of the limit that the host holds
}

type message struct {
	at      time.Duration
	deliver func()
}

// fleet simulates hosts that share one limit over an unreliable network.
type fleet struct {
	t          *rapid.T
	now        time.Duration
	hosts      []*testHost
	queue      []message
	reference  referenceLimiter
	limitRate  int64
	limitBurst int64
	totalParts int64
	admitted   int
}

func (f *fleet) clock(h *testHost) time.Time {
	return epoch.Add(time.Duration(float64(f.now) * h.clockRate))
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, limitRate: int64(rapid.IntRange(1, 400).Draw(t, "rate")), limitBurst: int64(rapid.IntRange(1, 60).Draw(t, "burst"))}
	n := rapid.IntRange(3, 10).Draw(t, "hosts")
	f.reference = referenceLimiter{rate: float64(f.limitRate) * (1 + maxClockDrift), burst: float64(f.limitBurst), tokens: float64(f.limitBurst)}
	for i := range n {
		h := &testHost{name: ident.Host(fmt.Sprintf("h%d", i)), clockRate: 1 + maxClockDrift*float64(rapid.IntRange(-1, 1).Draw(t, "speed"))}
		h.rate = share.NewRate(f.clock(h))
		h.parts = int64(rapid.IntRange(0, 3).Draw(t, "parts"))
		f.totalParts += h.parts
		f.hosts = append(f.hosts, h)
	}
	f.totalParts = max(f.totalParts, 1)
	for _, h := range f.hosts {
		f.setBase(h, rapid.Bool().Draw(t, "full"))
	}
	return f
}

func (f *fleet) setBase(h *testHost, full bool) {
	h.rate.SetBase(f.clock(h), f.limitRate*rateUnit*h.parts/f.totalParts, f.limitBurst*rateUnit*h.parts/f.totalParts, full)
}

// send queues a message that may be delayed, duplicated or lost.
func (f *fleet) send(deliver func()) {
	copies := []int{1, 1, 1, 1, 0, 2}[rapid.IntRange(0, 5).Draw(f.t, "copies")]
	for range copies {
		delay := time.Duration(rapid.IntRange(0, 60).Draw(f.t, "delay")) * tick
		f.queue = append(f.queue, message{at: f.now + delay, deliver: deliver})
	}
}

func (f *fleet) pick(label string) *testHost {
	return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(f.t, label)]
}

// borrow asks a peer for a loan. As in production, the borrower's deadline is counted from when it sends the ask.
func (f *fleet) borrow() {
	h, peer := f.pick("borrower"), f.pick("lender")
	if h == peer || f.now < h.pausedUntil {
		return
	}
	term := time.Duration(rapid.IntRange(50, 2000).Draw(f.t, "term")) * time.Millisecond
	ask := share.Ask{Tokens: int64(rapid.IntRange(1, 5).Draw(f.t, "tokens")) * rateUnit}
	if rapid.Bool().Draw(f.t, "steady") {
		ask = share.Ask{Demand: int64(rapid.IntRange(1, 200).Draw(f.t, "demand")) * rateUnit}
	}
	all := rapid.IntRange(0, 3).Draw(f.t, "all") == 0
	deadline := f.clock(h).Add(term)
	answered := false
	f.send(func() {
		if f.now < peer.pausedUntil {
			return
		}
		now := f.clock(peer)
		loan, ok := peer.rate.Lend(now, h.name, ask, now.Add(term+term/lenderMarginDivisor), true)
		if all {
			loan, ok = peer.rate.LendAll(now, h.name, now.Add(term+term/lenderMarginDivisor))
		}
		if !ok {
			return
		}
		f.send(func() {
			// A call accepts only one answer, so duplicates are ignored.
			if answered {
				return
			}
			answered = true
			loan := loan
			loan.Peer, loan.Deadline, loan.Pooled = peer.name, deadline, all
			h.rate.Borrow(f.clock(h), loan)
		})
	})
}

// extend asks the lenders of expiring loans for more time. A lender moves its deadline before it answers.
func (f *fleet) extend() {
	h := f.pick("extender")
	if f.now < h.pausedUntil {
		return
	}
	term := time.Duration(rapid.IntRange(50, 2000).Draw(f.t, "term")) * time.Millisecond
	asked := f.clock(h)
	for _, loan := range h.rate.Expiring(asked.Add(time.Hour), asked.Add(time.Hour), asked) {
		for _, peer := range f.hosts {
			if peer.name != loan.Peer {
				continue
			}
			f.send(func() {
				now := f.clock(peer)
				if _, ok := peer.rate.Extend(now, h.name, loan.Sequence, share.Ask{}, now.Add(term+term/lenderMarginDivisor)); !ok || f.now < peer.pausedUntil {
					return
				}
				f.send(func() { h.rate.ExtendBorrowed(f.clock(h), peer.name, loan.Sequence, asked.Add(term)) })
			})
		}
	}
}

func (f *fleet) returnLoans() {
	h := f.pick("borrower")
	if f.now < h.pausedUntil {
		return
	}
	for _, loan := range h.rate.ReturnBorrowed(f.clock(h), rapid.Bool().Draw(f.t, "all"), rapid.Bool().Draw(f.t, "pools")) {
		for _, peer := range f.hosts {
			if peer.name == loan.Peer {
				f.send(func() { peer.rate.AcceptReturn(f.clock(peer), h.name, loan.Sequence, loan.Amount.Tokens) })
			}
		}
	}
}

// movePartition moves a part from one host to another. The old owner releases it first, and only once the rest covers its
// loans.
func (f *fleet) movePartition() {
	from, to := f.pick("from"), f.pick("to")
	if from == to || from.parts == 0 {
		return
	}
	remaining := from.parts - 1
	if !from.rate.CanShrink(f.clock(from), f.limitRate*rateUnit*remaining/f.totalParts, f.limitBurst*rateUnit*remaining/f.totalParts) {
		return
	}
	from.parts--
	f.setBase(from, false)
	// Seat table updates may be delayed but are applied exactly once.
	delay := time.Duration(rapid.IntRange(0, 400).Draw(f.t, "table delay")) * tick
	f.queue = append(f.queue, message{at: f.now + delay, deliver: func() {
		to.parts++
		f.setBase(to, false)
	}})
}

// crash discards the state of a host. Its parts stay unused until all its loans have ended; then a new process takes them
// without tokens.
func (f *fleet) crash() {
	h := f.pick("crashed")
	parts := h.parts
	h.parts = 0
	h.rate = share.NewRate(f.clock(h))
	f.queue = append(f.queue, message{at: f.now + 2500*time.Millisecond, deliver: func() {
		h.parts += parts
		f.setBase(h, false)
	}})
}

func (f *fleet) takeTokens() {
	h := f.pick("spender")
	if f.now < h.pausedUntil {
		return
	}
	for range rapid.IntRange(1, 30).Draw(f.t, "requests") {
		if !h.rate.Take(f.clock(h), rateUnit, true) {
			return
		}
		f.admitted++
		if !f.reference.admit(f.now, 1) {
			f.t.Fatalf("at %s host %s admitted request %d beyond the limit: short by %f tokens", f.now, h.name, f.admitted, -f.reference.tokens)
		}
	}
}

func (f *fleet) step() {
	f.now += tick
	queue := f.queue
	f.queue = nil
	for _, m := range queue {
		if m.at > f.now {
			f.queue = append(f.queue, m)
			continue
		}
		m.deliver()
	}
	switch rapid.IntRange(0, 13).Draw(f.t, "event") {
	case 0, 1, 2, 3, 4, 5:
		f.takeTokens()
	case 6, 7, 8:
		f.borrow()
	case 9:
		f.returnLoans()
	case 10:
		f.movePartition()
	case 11:
		if rapid.IntRange(0, 9).Draw(f.t, "rarely") == 0 {
			f.crash()
		}
	case 12:
		f.extend()
	case 13:
		h := f.pick("paused")
		h.pausedUntil = f.now + time.Duration(rapid.IntRange(0, 3000).Draw(f.t, "pause"))*time.Millisecond
	}
}

// TestNeverOverInAnyWindow checks every admission against an exact central limiter while hosts lend, return loans, move
// partitions, pause and crash, over a network that loses, duplicates, delays and reorders messages.
func TestNeverOverInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 600 {
			f.step()
		}
	})
}

// TestSlotsNeverOver checks that all hosts together never use more slots than there are.
func TestSlotsNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 8).Draw(t, "slots")
		now := epoch
		lender, borrower := share.NewConcurrency(), share.NewConcurrency()
		lender.SetBase(total, time.Time{})
		type request struct {
			holder *share.Concurrency
			slot   share.Slot
			until  time.Time
		}
		var running []request
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "elapsed")) * time.Millisecond)
			remaining := running[:0]
			for _, r := range running {
				if r.until.After(now) && rapid.IntRange(0, 3).Draw(t, "end") > 0 {
					remaining = append(remaining, r)
					continue
				}
				r.holder.Release(r.slot)
			}
			running = remaining
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				c := []*share.Concurrency{lender, borrower}[rapid.IntRange(0, 1).Draw(t, "holder")]
				until := now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "length")) * time.Millisecond)
				if slot, ok := c.Take(now, until); ok {
					running = append(running, request{c, slot, until})
				}
			case 2:
				deadline := now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "term")) * time.Millisecond)
				if loan, ok := lender.Lend(now, "borrower", rapid.IntRange(1, 3).Draw(t, "ask"), deadline); ok {
					loan.Peer = "lender"
					borrower.Borrow(now, loan)
				}
			case 3:
				for _, loan := range borrower.ReturnBorrowed(now) {
					lender.AcceptReturn("borrower", loan.Sequence)
					lender.AcceptReturn("borrower", loan.Sequence)
				}
			}
			if len(running) > total {
				t.Fatalf("%d requests run on %d slots", len(running), total)
			}
		}
	})
}
