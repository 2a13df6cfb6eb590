// Package burn counts good and bad requests over windows and works out how fast they use up an error budget.
package burn

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShortWindow shows a fault that has just started.
	ShortWindow = 5 * time.Minute
	// LongWindow shows whether a fault matters.
	LongWindow = 1 * time.Hour

	bucketLength = 10 * time.Second
	bucketCount  = int(LongWindow / bucketLength)
	shardCount   = 16
	maxSeries    = 4096 // in one shard
)

// Series is what requests are counted by.
type Series struct {
	Service string
	Team    string
	Shift   string
}

// Count is a number of requests and of the bad ones among them.
type Count struct {
	Total int64
	Bad   int64
}

// Add sums two counts.
func (c Count) Add(o Count) Count { return Count{Total: c.Total + o.Total, Bad: c.Bad + o.Bad} }

// Rate returns the burn rate against a target: 1 uses up the budget just as the target allows.
// A target of 0 states none, and gives 0.
func (c Count) Rate(target float64) float64 {
	if c.Total == 0 || target <= 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Tracker counts requests by series in buckets of ten seconds, in shards with a lock each.
type Tracker struct{ shards [shardCount]shard }

type shard struct {
	mu     sync.Mutex
	series map[Series]*ring
}

type ring struct {
	counts [bucketCount]Count
	marks  [bucketCount]int64 // number of the bucket since the epoch
}

// New returns an empty tracker.
func New() *Tracker {
	t := &Tracker{}
	for i := range t.shards {
		t.shards[i].series = map[Series]*ring{}
	}
	return t
}

func (t *Tracker) shard(s Series) *shard {
	return &t.shards[xxhash.Sum64String(s.Service+"\x00"+s.Team+"\x00"+s.Shift)%shardCount]
}

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketLength) }

// Add counts one request.
func (t *Tracker) Add(now time.Time, s Series, bad bool) {
	sh := t.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.series[s]
	if !ok {
		if len(sh.series) >= maxSeries {
			return
		}
		r = &ring{}
		sh.series[s] = r
	}
	n := bucketOf(now)
	i := int(n % int64(bucketCount))
	if r.marks[i] != n {
		r.marks[i], r.counts[i] = n, Count{}
	}
	r.counts[i].Total++
	if bad {
		r.counts[i].Bad++
	}
}

// Window returns the counts of each series over the window before now.
func (t *Tracker) Window(now time.Time, window time.Duration) map[Series]Count {
	out := map[Series]Count{}
	first := bucketOf(now.Add(-window))
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for s, r := range sh.series {
			var sum Count
			for j, mark := range r.marks {
				if mark > first {
					sum = sum.Add(r.counts[j])
				}
			}
			out[s] = sum
		}
		sh.mu.Unlock()
	}
	return out
}
