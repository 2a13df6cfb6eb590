// Package retry decides whether a request may be retried, and limits retries by a token budget.
package retry

import (
	"sync"
	"time"
)

const (
	defaultTokenRatio = 0.1 // tokens added by each first attempt; a retry takes one token
	defaultMaxTokens  = 20  // maximum number of saved tokens
	initialTokens     = 5
	maxAttempts       = 4
)

// Result classifies an attempt that produced no response for the caller by whether the request may have run.
type Result int

const (
	// NotRun means that no backend server has run the request.
	NotRun Result = iota
	// MayHaveRun means that a backend server may have run the request, or may still run it.
	MayHaveRun
)

// Budget is a token bucket that limits the retries of one service, which prevents a retry storm when a region sheds load.
// It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	tokenRatio float64
	maxTokens  float64
}

// NewBudget returns a budget with the default limits and initialTokens.
func NewBudget() *Budget {
	return &Budget{tokens: initialTokens, tokenRatio: defaultTokenRatio, maxTokens: defaultMaxTokens}
}

// NewSharedBudget returns one host's part of a budget that all hosts share. Each first attempt adds tokenRatio tokens, up
// to maxTokens; the budget starts full.
func NewSharedBudget(tokenRatio, maxTokens float64) *Budget {
	return &Budget{tokens: maxTokens, tokenRatio: tokenRatio, maxTokens: maxTokens}
}

// SetMaxTokens sets the maximum number of saved tokens and drops the tokens above it.
func (b *Budget) SetMaxTokens(maxTokens float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.maxTokens = maxTokens
	b.tokens = min(b.tokens, maxTokens)
}

// Spend takes one token from the budget and reports whether there was one.
func (b *Budget) Spend() bool { return b.spend() }

// RecordFirstAttempt adds tokenRatio tokens for the first attempt of a request.
func (b *Budget) RecordFirstAttempt() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.tokenRatio, b.maxTokens)
}

func (b *Budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Request describes a request for which Allow decides about a retry.
type Request struct {
	Idempotent bool
	Replayable bool // the body can be sent again
	Attempts   int  // number of attempts made so far
	Deadline   time.Time
}

// Allow reports whether to retry the request after an attempt with the result, and takes a token if so. A request that is
// not idempotent is retried only if no backend server has run it.
func (b *Budget) Allow(now time.Time, r Request, result Result) bool {
	if !r.Replayable || r.Attempts >= maxAttempts || !now.Before(r.Deadline) {
		return false
	}
	if result == MayHaveRun && !r.Idempotent {
		return false
	}
	return b.spend()
}
