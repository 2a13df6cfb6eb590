package budget

import (
	"context"
	"time"
)

// Account is what one connection holds.
type Account struct {
	// SetReadDeadline bounds how long the connection is read, from another goroutine too.
	SetReadDeadline func(time.Time)
	// BodyRead is called after the body of a request was read to its end.
	BodyRead func()

	budget *Budget
	held   Bytes
}

// Open returns an account for a connection.
func (b *Budget) Open(setReadDeadline func(time.Time)) *Account {
	return &Account{SetReadDeadline: setReadDeadline, BodyRead: func() {}, budget: b}
}

// Hold returns a hold without bytes.
func (a *Account) Hold(k Kind) *Hold { return &Hold{account: a, kind: k, onShed: func() {}} }

// Interrupt ends a read of the connection that is waiting.
func (a *Account) Interrupt() { a.SetReadDeadline(time.Unix(1, 0)) }

// Part returns the number of bytes that the connection may hold, 0 for no limit.
func (a *Account) Part() Bytes { return a.budget.ConnectionPart() }

// MayReadAhead reports whether a further request may be read from the connection before those that were read are answered. Once half of the
// budget is used up, requests that are sent ahead wait, and the rest of it is left to other connections.
func (a *Account) MayReadAhead() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.budget.limit == 0 || 2*a.held <= a.Part() && 2*a.budget.total <= a.budget.limit
}

type accountKey struct{}

// WithAccount returns a context for the requests of the account's connection.
func WithAccount(ctx context.Context, a *Account) context.Context {
	return context.WithValue(ctx, accountKey{}, a)
}

// AccountOf returns the account of the context's connection. Without one, it returns an account without a limit.
func AccountOf(ctx context.Context) *Account {
	if a, ok := ctx.Value(accountKey{}).(*Account); ok {
		return a
	}
	return New(0).Open(func(time.Time) {})
}
