package wait

import (
	"slices"
	"time"
)

const (
	maxRefusals = 1024 // refusals that are remembered
	// returnPart is the part of the time left up to which clients honor Retry-After.
	returnPart = 1.0 / 3
	// returnTolerance is how much earlier than told a client may return, by the rounding of Retry-After.
	returnTolerance = 20 * time.Millisecond
)

// refusals remembers refused requests until their callers cannot return any more.
type refusals struct {
	byKey map[Key][]refusal
	count int
}

type refusal struct{ from, until time.Time } // when the caller may return

func newRefusals() refusals { return refusals{byKey: map[Key][]refusal{}} }

func (r *refusals) add(now time.Time, q Request, retryAfter time.Duration) {
	if q.Key == "" {
		return
	}
	if r.count >= maxRefusals {
		r.sweep(now)
	}
	if r.count >= maxRefusals {
		return
	}
	after := min(retryAfter, time.Duration(returnPart*float64(q.Deadline.Sub(now)))) - returnTolerance
	r.byKey[q.Key] = append(r.byKey[q.Key], refusal{now.Add(after), q.Deadline})
	r.count++
}

// take reports whether the request returns after a refusal, which is then forgotten.
func (r *refusals) take(now time.Time, key Key) bool {
	list := r.byKey[key]
	i := slices.IndexFunc(list, func(f refusal) bool { return !now.Before(f.from) && now.Before(f.until) })
	if i < 0 {
		return false
	}
	r.set(key, slices.Delete(list, i, i+1))
	r.count--
	return true
}

// sweep forgets refusals after which the callers do not return any more.
func (r *refusals) sweep(now time.Time) {
	for key, list := range r.byKey {
		kept := slices.DeleteFunc(list, func(f refusal) bool { return !now.Before(f.until) })
		r.count -= len(list) - len(kept)
		r.set(key, kept)
	}
}

func (r *refusals) set(key Key, list []refusal) {
	if len(list) == 0 {
		delete(r.byKey, key)
		return
	}
	r.byKey[key] = list
}
