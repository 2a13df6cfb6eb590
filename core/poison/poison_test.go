package poison_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/poison"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestRefusedAfterTwoServersLost checks that a request is refused once two different backend servers were lost to it, not
// before, and not after the strikes expire.
func TestRefusedAfterTwoServersLost(t *testing.T) {
	is := is.New(t)
	d := poison.New()
	d.Strike(epoch, "p", "b1")
	d.Strike(epoch, "p", "b1") // reported twice, counts once
	is.True(!d.Refused(epoch, "p"))
	d.Strike(epoch, "p", "b2")
	is.True(d.Refused(epoch, "p"))
	is.True(!d.Refused(epoch, "other"))
	is.True(!d.Refused(epoch.Add(time.Hour), "p"))
}

// TestRecentSuccessPreventsStrikes guards against refusing a frequent request that happens to be running on backend
// servers when they are lost: a recent success shows that it is not the cause.
func TestRecentSuccessPreventsStrikes(t *testing.T) {
	is := is.New(t)
	d := poison.New()
	d.RecordSuccess(epoch, "p")
	for i, b := range []ident.BackendServer{"b1", "b2", "b3"} {
		is.True(!d.Strike(epoch.Add(time.Duration(i)*time.Second), "p", b))
	}
	is.True(!d.Refused(epoch.Add(time.Minute), "p"))
	later := epoch.Add(5 * time.Minute) // the success has expired
	is.True(d.Strike(later, "p", "b1"))
	is.True(d.Strike(later, "p", "b2"))
	is.True(d.Refused(later, "p"))
}
