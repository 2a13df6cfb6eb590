// Package burn counts requests and bad requests over sliding windows and computes error budget burn rates.
package burn

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// ShortWindow is the window that detects a fault soon after it starts.
	ShortWindow = 5 * time.Minute
	// LongWindow is the window that shows whether a fault uses up a significant part of the error budget.
	LongWindow = 1 * time.Hour

	bucketDuration    = 10 * time.Second
	bucketCount       = int(LongWindow / bucketDuration)
	shardCount        = 16
	maxSeriesPerShard = 4096 // further series are not counted
)

// Series identifies the requests that are counted together.
type Series struct {
	Service string
	Team    string
	Shift   string
}

// Count holds a number of requests and how many of them were bad.
type Count struct {
	Total int64
	Bad   int64
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count { return Count{Total: c.Total + o.Total, Bad: c.Bad + o.Bad} }

// Rate returns the burn rate for an availability target between 0 and 1. At a rate of 1 the error budget is used up
// exactly at the pace that the target allows. It returns 0 without requests, and for a target of 0, which means that
// none is set, or one outside that range.
func (c Count) Rate(target float64) float64 {
	if c.Total == 0 || target <= 0 || target >= 1 {
		return 0
	}
	return float64(c.Bad) / float64(c.Total) / (1 - target)
}

// Tracker counts requests by series in buckets of 10 seconds. It is divided into shards with a lock each.
type Tracker struct{ shards [shardCount]shard }

type shard struct {
	mu     sync.Mutex
	series map[Series]*ring
}

// ring is a circular buffer of the buckets of one series.
type ring struct {
	counts     [bucketCount]Count
	bucketNums [bucketCount]int64 // bucket number, counted from the Unix epoch, that each count belongs to
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

func bucketOf(now time.Time) int64 { return now.UnixNano() / int64(bucketDuration) }

// Add counts one request. It drops the request when the series is new and its shard is full.
func (t *Tracker) Add(now time.Time, s Series, bad bool) {
	sh := t.shard(s)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	r, ok := sh.series[s]
	if !ok {
		if len(sh.series) >= maxSeriesPerShard {
			return
		}
		r = &ring{}
		sh.series[s] = r
	}
	n := bucketOf(now)
	i := int(n % int64(bucketCount))
	if r.bucketNums[i] != n {
		r.bucketNums[i], r.counts[i] = n, Count{}
	}
	r.counts[i].Total++
	if bad {
		r.counts[i].Bad++
	}
}

// Window returns the count of each series over the window that ends now, to the precision of a bucket. The window must
// not exceed LongWindow.
func (t *Tracker) Window(now time.Time, window time.Duration) map[Series]Count {
	out := map[Series]Count{}
	first := bucketOf(now.Add(-window))
	for i := range t.shards {
		sh := &t.shards[i]
		sh.mu.Lock()
		for s, r := range sh.series {
			var sum Count
			for j, bucketNum := range r.bucketNums {
				if bucketNum > first {
					sum = sum.Add(r.counts[j])
				}
			}
			out[s] = sum
		}
		sh.mu.Unlock()
	}
	return out
}
