package load

import (
	"fmt"
	"slices"
	"strings"
)

// Table formats the result as a text table with a row for each team.
func (r Result) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-12s %8s %8s %8s %8s %8s %8s %8s %9s %9s %9s\n",
		"team", "offered", "answered", "in-rate", "over", "busy", "unknown", "dropped", "p50-ms", "p99-ms", "max-ms")
	names := make([]string, 0, len(r.Teams))
	for name := range r.Teams {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t := r.Teams[name]
		fmt.Fprintf(&b, "%-12s %8d %8d %8d %8d %8d %8d %8d %9.1f %9.1f %9.1f\n", name,
			t.Offered, t.Answered, t.RefusedWithinRate, t.RefusedOverRate, t.NotRun, t.Unknown, t.Dropped,
			ms(t.Latency.ValueAtQuantile(50)), ms(t.Latency.ValueAtQuantile(99)), ms(t.Latency.Max()))
	}
	return b.String()
}

func ms(microseconds int64) float64 { return float64(microseconds) / 1000 }

// DuplicateExecutions returns the IDs of the writes that ran more than once. executions holds the number of executions
// by ID that the backend servers recorded.
func (r Result) DuplicateExecutions(executions map[string]int) []string {
	var list []string
	for _, w := range r.Writes {
		if executions[w.ID] > 1 {
			list = append(list, w.ID)
		}
	}
	return list
}

// FalseNotRun returns the IDs of the writes that were refused as not run although they ran.
func (r Result) FalseNotRun(executions map[string]int) []string {
	var list []string
	for _, w := range r.Writes {
		if (w.Outcome == NotRun || w.Outcome == RateLimited) && executions[w.ID] > 0 {
			list = append(list, w.ID)
		}
	}
	return list
}
