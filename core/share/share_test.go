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
	tick      = 5 * time.Millisecond
	drift     = 0.01 // largest part by which a clock runs fast or slow
	lendExtra = 50   // a lender waits longer by one part in so many, more than twice the drift
	rateUnit  = share.Unit
)

var epoch = time.Unix(1_800_000_000, 0)

// ledger is the exact central limiter: one token bucket that sees every admission in true time.
type ledger struct {
	rate, burst, tokens float64
	at                  time.Duration
}

// admit returns false when an admission exceeds rate times window plus burst in some window.
func (l *ledger) admit(now time.Duration, n float64) bool {
	l.tokens = min(l.burst, l.tokens+l.rate*(now-l.at).Seconds())
	l.at = now
	l.tokens -= n
	return l.tokens >= -1e-6
}

type holder struct {
	name   ident.Host
	rate   *share.Rate
	speed  float64
	paused time.Duration // until
	base   int64         // parts of the limit
}

type message struct {
	at time.Duration
	do func()
}

// fleet is a set of hosts that share one limit over a bad network.
type fleet struct {
	t      *rapid.T
	now    time.Duration
	hosts  []*holder
	queue  []message
	ledger ledger
	rateN  int64
	burstN int64
	parts  int64
	taken  int
}

func (f *fleet) clock(h *holder) time.Time {
	return epoch.Add(time.Duration(float64(f.now) * h.speed))
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, rateN: int64(rapid.IntRange(1, 400).Draw(t, "rate")), burstN: int64(rapid.IntRange(1, 60).Draw(t, "burst"))}
	n := rapid.IntRange(3, 10).Draw(t, "hosts")
	f.ledger = ledger{rate: float64(f.rateN) * (1 + drift), burst: float64(f.burstN), tokens: float64(f.burstN)}
	for i := range n {
		h := &holder{name: ident.Host(fmt.Sprintf("h%d", i)), speed: 1 + drift*float64(rapid.IntRange(-1, 1).Draw(t, "speed"))}
		h.rate = share.NewRate(f.clock(h))
		h.base = int64(rapid.IntRange(0, 3).Draw(t, "parts"))
		f.parts += h.base
		f.hosts = append(f.hosts, h)
	}
	f.parts = max(f.parts, 1)
	for _, h := range f.hosts {
		f.setBase(h, rapid.Bool().Draw(t, "full"))
	}
	return f
}

func (f *fleet) setBase(h *holder, full bool) {
	h.rate.SetBase(f.clock(h), f.rateN*rateUnit*h.base/f.parts, f.burstN*rateUnit*h.base/f.parts, full)
}

// send delivers a message late, twice or not at all.
func (f *fleet) send(do func()) {
	copies := []int{1, 1, 1, 1, 0, 2}[rapid.IntRange(0, 5).Draw(f.t, "copies")]
	for range copies {
		delay := time.Duration(rapid.IntRange(0, 60).Draw(f.t, "delay")) * tick
		f.queue = append(f.queue, message{at: f.now + delay, do: do})
	}
}

func (f *fleet) pick(label string) *holder {
	return f.hosts[rapid.IntRange(0, len(f.hosts)-1).Draw(f.t, label)]
}

// borrow asks a peer as a host does: its own deadline counts from the asking.
func (f *fleet) borrow() {
	h, peer := f.pick("borrower"), f.pick("lender")
	if h == peer || f.now < h.paused {
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
		if f.now < peer.paused {
			return
		}
		now := f.clock(peer)
		loan, ok := peer.rate.Lend(now, h.name, ask, now.Add(term+term/lendExtra), true)
		if all {
			loan, ok = peer.rate.LendAll(now, h.name, now.Add(term+term/lendExtra))
		}
		if !ok {
			return
		}
		f.send(func() {
			// A call takes one answer; a second copy is not matched to it.
			if answered {
				return
			}
			answered = true
			loan := loan
			loan.Peer, loan.Deadline, loan.Gathered = peer.name, deadline, all
			h.rate.Borrow(f.clock(h), loan)
		})
	})
}

// extend asks the lenders of gathered loans for more time; the lender moves its deadline before it answers.
func (f *fleet) extend() {
	h := f.pick("extender")
	if f.now < h.paused {
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
				if _, ok := peer.rate.Extend(now, h.name, loan.Sequence, share.Ask{}, now.Add(term+term/lendExtra)); !ok || f.now < peer.paused {
					return
				}
				f.send(func() { h.rate.Extended(f.clock(h), peer.name, loan.Sequence, asked.Add(term)) })
			})
		}
	}
}

func (f *fleet) giveBack() {
	h := f.pick("giver")
	if f.now < h.paused {
		return
	}
	for _, loan := range h.rate.GiveBack(f.clock(h), rapid.Bool().Draw(f.t, "all"), rapid.Bool().Draw(f.t, "gathers")) {
		for _, peer := range f.hosts {
			if peer.name == loan.Peer {
				f.send(func() { peer.rate.Returned(f.clock(peer), h.name, loan.Sequence, loan.Amount.Tokens) })
			}
		}
	}
}

// move hands a part from one host to another: the giver lets go first, and only once its loans are covered without it.
func (f *fleet) move() {
	from, to := f.pick("from"), f.pick("to")
	if from == to || from.base == 0 {
		return
	}
	left := from.base - 1
	if !from.rate.Settled(f.clock(from), f.rateN*rateUnit*left/f.parts, f.burstN*rateUnit*left/f.parts) {
		return
	}
	from.base--
	f.setBase(from, false)
	// The seat table carries the move: it may be seen late, but once.
	delay := time.Duration(rapid.IntRange(0, 400).Draw(f.t, "table delay")) * tick
	f.queue = append(f.queue, message{at: f.now + delay, do: func() {
		to.base++
		f.setBase(to, false)
	}})
}

// crash ends a host; its parts stay unused until a new process takes them, empty, after all its loans have ended.
func (f *fleet) crash() {
	h := f.pick("crashed")
	parts := h.base
	h.base = 0
	h.rate = share.NewRate(f.clock(h))
	f.queue = append(f.queue, message{at: f.now + 2500*time.Millisecond, do: func() {
		h.base += parts
		f.setBase(h, false)
	}})
}

func (f *fleet) spend() {
	h := f.pick("spender")
	if f.now < h.paused {
		return
	}
	for range rapid.IntRange(1, 30).Draw(f.t, "requests") {
		if !h.rate.Take(f.clock(h), rateUnit, true) {
			return
		}
		f.taken++
		if !f.ledger.admit(f.now, 1) {
			f.t.Fatalf("at %s host %s admitted request %d beyond the limit: short by %f tokens", f.now, h.name, f.taken, -f.ledger.tokens)
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
		m.do()
	}
	switch rapid.IntRange(0, 13).Draw(f.t, "event") {
	case 0, 1, 2, 3, 4, 5:
		f.spend()
	case 6, 7, 8:
		f.borrow()
	case 9:
		f.giveBack()
	case 10:
		f.move()
	case 11:
		if rapid.IntRange(0, 9).Draw(f.t, "rarely") == 0 {
			f.crash()
		}
	case 12:
		f.extend()
	case 13:
		h := f.pick("paused")
		h.paused = f.now + time.Duration(rapid.IntRange(0, 3000).Draw(f.t, "pause"))*time.Millisecond
	}
}

// TestNeverOverInAnyWindow drives hosts that lend, return, move, pause and crash over a network that loses, repeats,
// delays and reorders messages, and holds every admission against the exact central limiter.
func TestNeverOverInAnyWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range 600 {
			f.step()
		}
	})
}

// TestSlotsNeverOver holds the slots in use by all hosts against the number of slots.
func TestSlotsNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 8).Draw(t, "slots")
		now := epoch
		owner, guest := share.NewCount(), share.NewCount()
		owner.SetBase(total, time.Time{})
		type held struct {
			count *share.Count
			slot  share.Slot
			until time.Time
		}
		var running []held
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "pass")) * time.Millisecond)
			kept := running[:0]
			for _, h := range running {
				if h.until.After(now) && rapid.IntRange(0, 3).Draw(t, "end") > 0 {
					kept = append(kept, h)
					continue
				}
				h.count.Free(h.slot)
			}
			running = kept
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				c := []*share.Count{owner, guest}[rapid.IntRange(0, 1).Draw(t, "who")]
				until := now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "length")) * time.Millisecond)
				if slot, ok := c.Take(now, until); ok {
					running = append(running, held{c, slot, until})
				}
			case 2:
				deadline := now.Add(time.Duration(rapid.IntRange(100, 4000).Draw(t, "term")) * time.Millisecond)
				if loan, ok := owner.Lend(now, "guest", rapid.IntRange(1, 3).Draw(t, "ask"), deadline); ok {
					loan.Peer = "owner"
					guest.Borrow(now, loan)
				}
			case 3:
				for _, loan := range guest.GiveBack(now) {
					owner.Returned("guest", loan.Sequence)
					owner.Returned("guest", loan.Sequence)
				}
			}
			if len(running) > total {
				t.Fatalf("%d requests run on %d slots", len(running), total)
			}
		}
	})
}
