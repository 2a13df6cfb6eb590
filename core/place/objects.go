package place

import (
	"time"

	"jayshift/core/ident"
)

const (
	objectSpan = 8 * time.Second // over which objects are counted
	// objectsFit is how many objects a backend server is taken to remember.
	objectsFit = 24
)

// objects knows the objects that requests were about lately.
type objects struct {
	begun  time.Time // of the span that runs
	known  map[ident.Object]*object
	now    int // objects of this span
	before int // objects of the span before
}

// object is what is known of one object.
type object struct {
	seen time.Time
	paid time.Duration // cost of running it in other zones of the region, since it lives there
}

func newObjects() objects { return objects{known: map[ident.Object]*object{}} }

// see notes that a request is about the object.
func (o *objects) see(now time.Time, id ident.Object) *object {
	if now.Sub(o.begun) >= objectSpan {
		o.turn(now)
	}
	known := o.known[id]
	if known == nil {
		known = &object{}
		o.known[id] = known
	}
	if known.seen.Before(o.begun) || known.seen.IsZero() {
		o.now++
	}
	known.seen = now
	return known
}

// turn begins a new span, and forgets objects that were not seen in the last one.
func (o *objects) turn(now time.Time) {
	for id, known := range o.known {
		if known.seen.Before(o.begun) {
			delete(o.known, id)
		}
	}
	o.before, o.now, o.begun = o.now, 0, now
}

// fit tells whether so many servers remember all objects.
func (o *objects) fit(servers int) bool { return max(o.before, o.now) <= objectsFit*servers }
