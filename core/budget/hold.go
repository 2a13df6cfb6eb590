package budget

import (
	"cmp"
	"slices"
	"time"

	"jayshift/core/ident"
)

// Hold is the memory of one buffer that a client fills or empties.
type Hold struct {
	account *Account
	kind    Kind
	team    ident.Team
	onShed  func()
	bytes   Bytes
	wasShed bool

	started     time.Time
	windowStart time.Time
	windowBytes Bytes // since windowStart
	lastRate    float64
}

// Grow asks for n more bytes, which is no progress of the client: a buffer may grow long before it is filled. On an error the
// hold keeps what it has, or has nothing any more if the error is ErrShed.
func (h *Hold) Grow(now time.Time, n Bytes) error {
	b := h.account.budget
	b.mu.Lock()
	victims, err := b.grow(now, h, n)
	b.mu.Unlock()
	for _, v := range victims {
		v.onShed()
	}
	return err
}

// Force is Grow for memory that is already in use. It sheds slower holds if the budget is used up, and is never refused.
func (h *Hold) Force(now time.Time, n Bytes) {
	b := h.account.budget
	b.mu.Lock()
	var victims []*Hold
	if over := b.total + n - b.limit; b.limit > 0 && over > 0 {
		victims, _ = b.shedSlowest(now, over, func(v *Hold) bool { return v != h })
	}
	b.add(h, n)
	b.mu.Unlock()
	for _, v := range victims {
		v.onShed()
	}
}

// Progress records that the client has sent or taken n bytes.
func (h *Hold) Progress(now time.Time, n Bytes) {
	b := h.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.advance(now, n)
}

// SetTeam counts the hold to the team from now on.
func (h *Hold) SetTeam(t ident.Team) {
	b := h.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n := h.bytes
	b.add(h, -n)
	h.team = t
	b.add(h, n)
}

// AwaitClient allows the hold to be shed, since it waits for its client. onShed is called at most once, without locks; it must
// make the owner release the memory.
func (h *Hold) AwaitClient(now time.Time, onShed func()) {
	b := h.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.onShed, h.started, h.windowStart = onShed, now, now
	b.slow[h] = true
}

// Complete ends AwaitClient. It returns ErrShed if the hold was shed.
func (h *Hold) Complete() error {
	b := h.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.slow, h)
	if h.wasShed {
		return ErrShed
	}
	return nil
}

// Shrink reduces the hold to n bytes, if it has more.
func (h *Hold) Shrink(n Bytes) {
	b := h.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.bytes > n {
		b.add(h, n-h.bytes)
	}
}

// Release returns all bytes. It may be called more than once.
func (h *Hold) Release() {
	b := h.account.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.slow, h)
	b.add(h, -h.bytes)
}

// advance records n bytes of progress.
func (h *Hold) advance(now time.Time, n Bytes) {
	if elapsed := now.Sub(h.windowStart); elapsed >= Window {
		h.lastRate = float64(h.windowBytes) / elapsed.Seconds()
		h.windowStart, h.windowBytes = now, 0
	}
	h.windowBytes += n
}

// rate returns the bytes per second over the last whole window, or since its end if that is longer ago.
func (h *Hold) rate(now time.Time) float64 {
	if elapsed := now.Sub(h.windowStart); elapsed >= Window {
		return float64(h.windowBytes) / elapsed.Seconds()
	}
	return h.lastRate
}

// candidates returns the holds that may be shed, the slowest first and of equally slow ones the oldest.
func (b *Budget) candidates(now time.Time, may func(*Hold) bool) []*Hold {
	var list []*Hold
	for h := range b.slow {
		if now.Sub(h.started) >= Window && h.bytes > 0 && may(h) {
			list = append(list, h)
		}
	}
	slices.SortFunc(list, func(x, y *Hold) int {
		return cmp.Or(cmp.Compare(x.rate(now), y.rate(now)), x.started.Compare(y.started))
	})
	return list
}
