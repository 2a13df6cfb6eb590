// Package budget accounts for the memory that a host's clients can fill: heads and bodies of requests, and responses that
// are not read. It holds no memory and has no clock or sockets; callers ask it before they allocate.
package budget

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
)

// Bytes is an amount of memory.
type Bytes int64

// Kind is what a hold of memory is for.
type Kind int

// Kinds of holds.
const (
	Head Kind = iota
	Body
	Response
	kinds
)

// Parts of the budget, and the rule by which holds are shed.
const (
	connectionPart = 4 // a connection holds at most the budget divided by this
	teamPart       = 2 // a team holds at most the budget divided by this
	reservePart    = 4 // only small holds use the last part of the budget, the budget divided by this
	// Small is the size up to which a hold may use the reserve. An upload of 60 kB with its head is below it.
	Small Bytes = 80 << 10
	// Window is the time over which the progress of a hold is judged. A younger hold is not shed.
	Window = time.Second
)

var (
	// ErrFull means that the budget is used up by holds that are not slower.
	ErrFull = merry.Sentinel("budget: memory for clients is used up")
	// ErrConnection means that the connection holds its part of the budget.
	ErrConnection = merry.Sentinel("budget: connection holds its part of the memory")
	// ErrTeam means that the team holds its part of the budget.
	ErrTeam = merry.Sentinel("budget: team holds its part of the memory")
	// ErrShed means that the hold was given up for others.
	ErrShed = merry.Sentinel("budget: hold was shed")
)

// Budget divides a number of bytes between the connections of a host. It is safe for concurrent use.
type Budget struct {
	limit Bytes // 0 for no limit

	mu      sync.Mutex
	total   Bytes
	byKind  [kinds]Bytes
	byTeam  map[ident.Team]Bytes
	slow    map[*Hold]bool // holds that wait for their client, and may be shed
	refused int64
	shed    int64
}

// New returns a budget of limit bytes, without a limit if it is 0.
func New(limit Bytes) *Budget {
	return &Budget{limit: limit, byTeam: map[ident.Team]Bytes{}, slow: map[*Hold]bool{}}
}

// ConnectionPart returns the number of bytes that one connection may hold, 0 for no limit.
func (b *Budget) ConnectionPart() Bytes { return b.limit / connectionPart }

// Held returns the number of bytes that are held for the kind.
func (b *Budget) Held(k Kind) Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.byKind[k]
}

// Counts returns how often memory was refused, and how many holds were shed.
func (b *Budget) Counts() (refused, shed int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.refused, b.shed
}

// grow adds n bytes to the hold, and sheds slower holds for them. It returns the victims, which the caller of Grow tells.
func (b *Budget) grow(now time.Time, h *Hold, n Bytes) ([]*Hold, error) {
	if h.wasShed {
		return nil, ErrShed
	}
	if b.limit == 0 {
		b.add(h, n)
		return nil, nil
	}
	if h.account.held+n > b.ConnectionPart() {
		b.refused++
		return nil, ErrConnection
	}
	var victims []*Hold
	if over := b.byTeam[h.team] + n - usable(b.limit/teamPart, h.bytes+n); h.team != "" && over > 0 {
		var freed Bytes
		if victims, freed = b.shedSlowest(now, over, func(v *Hold) bool { return v != h && v.team == h.team }); freed < over {
			b.refused++
			return victims, ErrTeam
		}
	}
	if over := b.total + n - usable(b.limit, h.bytes+n); over > 0 {
		more, freed := b.shedSlowest(now, over, func(v *Hold) bool { return v != h })
		victims = append(victims, more...)
		if freed < over {
			b.refused++
			return victims, ErrFull
		}
	}
	b.add(h, n)
	return victims, nil
}

// usable returns the part of the limit that a hold of the given size may use.
func usable(limit, size Bytes) Bytes {
	if size > Small {
		return limit - limit/reservePart
	}
	return limit
}

func (b *Budget) add(h *Hold, n Bytes) {
	h.bytes += n
	h.account.held += n
	b.total += n
	b.byKind[h.kind] += n
	if h.team != "" {
		b.byTeam[h.team] += n
		if b.byTeam[h.team] == 0 {
			delete(b.byTeam, h.team)
		}
	}
}

// shedSlowest sheds holds until at least n bytes are freed, the slowest first. It sheds none if all that may be shed would not
// free n bytes. It returns the holds that it has shed and their bytes.
func (b *Budget) shedSlowest(now time.Time, n Bytes, may func(*Hold) bool) (victims []*Hold, freed Bytes) {
	candidates := b.candidates(now, may)
	var available Bytes
	for _, v := range candidates {
		available += v.bytes
	}
	if available < n {
		return nil, 0
	}
	for _, v := range candidates {
		if freed >= n {
			break
		}
		freed += v.bytes
		v.wasShed = true
		b.shed++
		b.add(v, -v.bytes)
		delete(b.slow, v)
		victims = append(victims, v)
	}
	return victims, freed
}
