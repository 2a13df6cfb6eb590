package store

import (
	"net/http"
	"strconv"
	"sync"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
)

// eraHeader is the header of all responses of the store that has its era.
const eraHeader = "Store-Era"

var (
	// ErrNewEra means that the store was restored from a copy, so that it does not continue the history that was read
	// before. A watch must follow a full read; a transaction may have been applied, although its revisions were those of
	// an earlier era.
	ErrNewEra = merry.Sentinel("store: restored from a copy")
	// ErrOldEra means that a response was made before the last restore that is known. It is ignored.
	ErrOldEra = merry.Prepend(ErrUnavailable, "response of an earlier era")
)

// Eras tracks the era of a store from its responses, and the eras in which leases were granted. A lease ends with its era,
// since the store may grant its id again to another host. A store that names no era is in era 0. Eras is safe for
// concurrent use.
type Eras struct {
	mu      sync.Mutex
	current ident.Era
	leases  map[int64]ident.Era // by lease id
}

// NewEras returns Eras without any response.
func NewEras() *Eras { return &Eras{leases: map[int64]ident.Era{}} }

// Current returns the era of the latest response.
func (e *Eras) Current() ident.Era {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Observe records the era of a response, given its headers, and returns it. It returns ErrOldEra if a later era is known.
// A response without a readable era belongs to the current one.
func (e *Eras) Observe(h http.Header) (ident.Era, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	number, err := strconv.ParseInt(h.Get(eraHeader), 10, 64)
	if err != nil || number < 0 || number > maxEra {
		return e.current, nil
	}
	era := ident.Era(number)
	if era < e.current {
		return e.current, ErrOldEra
	}
	e.current = era
	return era, nil
}

// Follows checks that a watch may go on from a revision: the era of the revision is the current one or, if a peer has
// seen it first, becomes the current one. It returns ErrNewEra if the revision is of an earlier era.
func (e *Eras) Follows(after ident.Revision) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if after.Era() < e.current {
		return ErrNewEra
	}
	e.current = after.Era()
	return nil
}

// maxEra bounds the eras that are believed, so that revisions do not overflow.
const maxEra = 1_000_000

// RecordLease records that a lease was granted in an era, in place of any lease of an earlier era with that id.
func (e *Eras) RecordLease(lease int64, era ident.Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leases[lease] = era
}

// ForgetLease removes the record of a lease that is no longer used.
func (e *Eras) ForgetLease(lease int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.leases, lease)
}

// LeaseEnded reports whether a lease is known to have ended because a new era has begun since it was granted.
func (e *Eras) LeaseEnded(lease int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if lease == 0 {
		return false
	}
	granted, known := e.leases[lease]
	return known && granted < e.current
}

// CheckWrites returns ErrConflict if a comparison is with a revision of another era than the current one, and ErrNoLease if
// a lease has ended with its era.
func (e *Eras) CheckWrites(compares []Compare, writes []Write) error {
	current := e.Current()
	for _, c := range compares {
		if c.Revision != 0 && ident.Revision(c.Revision).Era() != current {
			return ErrConflict
		}
	}
	for _, w := range writes {
		if e.LeaseEnded(w.Lease) {
			return ErrNoLease
		}
	}
	return nil
}
