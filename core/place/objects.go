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

// objects counts the objects that requests were about lately.
type objects struct {
	begun  time.Time
	now    map[ident.Object]bool
	before int  // in the span before
	whole  bool // a whole span was counted
}

func newObjects() objects { return objects{now: map[ident.Object]bool{}} }

func (o *objects) see(now time.Time, object ident.Object) {
	if o.begun.IsZero() {
		o.begun = now
	}
	if now.Sub(o.begun) >= objectSpan {
		o.before, o.begun, o.whole = len(o.now), now, true
		clear(o.now)
	}
	o.now[object] = true
}

// fit tells whether so many servers remember all objects; false until a whole span was counted.
func (o *objects) fit(servers int) bool {
	return o.whole && max(o.before, len(o.now)) <= objectsFit*servers
}
