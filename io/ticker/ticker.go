// Package ticker calls a function periodically.
package ticker

import (
	"context"
	"time"
)

// Every calls f after each period until ctx is done. It does not run calls concurrently: a call that takes longer than the
// period delays the next one.
func Every(ctx context.Context, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
