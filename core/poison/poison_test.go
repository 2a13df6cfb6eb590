package poison_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/poison"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestTwoServersAndOut refuses a request after it took down two backend servers, and not before.
func TestTwoServersAndOut(t *testing.T) {
	is := is.New(t)
	l := poison.New()
	l.Strike(epoch, "p", "b1")
	l.Strike(epoch, "p", "b1") // told twice
	is.True(!l.Refused(epoch, "p"))
	l.Strike(epoch, "p", "b2")
	is.True(l.Refused(epoch, "p"))
	is.True(!l.Refused(epoch, "other"))
	is.True(!l.Refused(epoch.Add(time.Hour), "p"))
}

// TestMuchAskedForIsNotToBlame loses many backend servers while they run a request that has been answered before.
func TestMuchAskedForIsNotToBlame(t *testing.T) {
	is := is.New(t)
	l := poison.New()
	l.Succeeded(epoch, "p")
	for i, b := range []ident.BackendServer{"b1", "b2", "b3"} {
		is.True(!l.Strike(epoch.Add(time.Duration(i)*time.Second), "p", b))
	}
	is.True(!l.Refused(epoch.Add(time.Minute), "p"))
	later := epoch.Add(5 * time.Minute) // the success is forgotten
	is.True(l.Strike(later, "p", "b1"))
	is.True(l.Strike(later, "p", "b2"))
	is.True(l.Refused(later, "p"))
}
