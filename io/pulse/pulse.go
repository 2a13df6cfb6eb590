// Package pulse does something again and again.
package pulse

import (
	"context"
	"time"
)

// Every does something after each period until the context ends. A round that takes longer than the period delays the next.
func Every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			do()
		case <-ctx.Done():
			return
		}
	}
}
