package serve

import (
	"context"
	"log/slog"
	"time"

	"jayshift/core/budget"
	"jayshift/io/ticker"
)

const watchInterval = time.Second // also bounds the log lines about the memory of clients

// Gauge is a value that is read when the metrics are collected.
type Gauge struct {
	Name, Help string
	Read       func() float64
}

// MemoryGauges returns gauges for the budget, with the prefix in front of their names.
func MemoryGauges(prefix string, memory func() *budget.Budget) []Gauge {
	held := func(k budget.Kind) func() float64 {
		return func() float64 { return float64(memory().Held(k)) }
	}
	return []Gauge{
		{prefix + "client.bytes.heads", "Bytes held for heads of requests.", held(budget.Head)},
		{prefix + "client.bytes.bodies", "Bytes held for bodies of requests.", held(budget.Body)},
		{prefix + "client.bytes.responses", "Bytes held for responses that are not read yet.", held(budget.Response)},
		{prefix + "client.refused", "Times that memory was refused to a client, whose request was not run.", func() float64 {
			refused, _ := memory().Counts()
			return float64(refused)
		}},
		{prefix + "client.shed", "Unfinished requests and responses given up for others.", func() float64 {
			_, shed := memory().Counts()
			return float64(shed)
		}},
	}
}

// WatchMemory logs, at most once per second, that clients were refused memory or shed, until ctx ends.
func WatchMemory(ctx context.Context, b *budget.Budget, log *slog.Logger) {
	var refusedBefore, shedBefore int64
	ticker.Every(ctx, watchInterval, func() {
		refused, shed := b.Counts()
		if refused == refusedBefore && shed == shedBefore {
			return
		}
		log.Warn("memory for clients used up", "refused", refused-refusedBefore, "shed", shed-shedBefore,
			"heads", int64(b.Held(budget.Head)), "bodies", int64(b.Held(budget.Body)), "responses", int64(b.Held(budget.Response)))
		refusedBefore, shedBefore = refused, shed
	})
}
