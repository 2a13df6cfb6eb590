// Package retry decides whether a request may be sent again.
package retry

import (
	"sync"
	"time"
)

const (
	budgetShare = 0.1 // retries earned by each first attempt
	budgetMost  = 20  // retries that can be saved up
	budgetStart = 5
	maxAttempts = 4
)

// Result is what is known of an attempt that gave no answer for the caller.
type Result int

const (
	// NotRun means that no backend server can have run the request.
	NotRun Result = iota
	// Unknown means that a backend server may have run it, or may still.
	Unknown
)

// Budget bounds the retries of one service, so that a shedding region is not hit by a storm of them.
type Budget struct {
	mu    sync.Mutex
	saved float64
	share float64
	most  float64
}

// NewBudget returns a budget with a few retries saved.
func NewBudget() *Budget { return &Budget{saved: budgetStart, share: budgetShare, most: budgetMost} }

// NewSharedBudget returns a host's part of a budget for all hosts together: each first attempt earns a share of a
// retry, and so many can be saved up.
func NewSharedBudget(share, most float64) *Budget {
	return &Budget{saved: most, share: share, most: most}
}

// SetMost replaces how many retries can be saved up.
func (b *Budget) SetMost(most float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.most = most
	b.saved = min(b.saved, most)
}

// Spend takes one retry from the budget, and tells whether there was one.
func (b *Budget) Spend() bool { return b.spend() }

// First counts a first attempt, which earns a share of a retry.
func (b *Budget) First() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.saved = min(b.saved+b.share, b.most)
}

func (b *Budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < 1 {
		return false
	}
	b.saved--
	return true
}

// Request is what a decision needs to know of a request.
type Request struct {
	Idempotent bool
	Replayable bool // the body can be sent again
	Attempts   int  // made so far
	Deadline   time.Time
}

// Allowed tells whether to send the request again after the result, and spends the budget if so.
// A request that is not idempotent goes again only when it was certainly not run.
func (b *Budget) Allowed(now time.Time, r Request, last Result) bool {
	if !r.Replayable || r.Attempts >= maxAttempts || !now.Before(r.Deadline) {
		return false
	}
	if last == Unknown && !r.Idempotent {
		return false
	}
	return b.spend()
}
