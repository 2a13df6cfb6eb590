package reach_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/reach"
)

// TestCutOff plays attempts at ten servers and checks whether the host counts as cut off. Each attempt is at the next server:
// u finds it unopened, b broken, q silent; a is an answer on a new connection, o on an older one, and w a wait of two seconds. A
// p is a probe that cannot be opened, P one that has no answer.
func TestCutOff(t *testing.T) {
	for name, c := range map[string]struct {
		steps  string
		known  int
		cutOff bool
	}{
		"calm":                               {"aoaoo", 10, false},
		"one server is down":                 {"u", 10, false},
		"two servers are down":               {"uu", 10, false},
		"many servers are down":              {"uuuuuuo", 10, false},
		"many are down, a probe answers":     {"uuuuppa", 10, false},
		"none can be opened":                 {"uuuppp", 10, true},
		"all reset":                          {"bbbPPP", 10, true},
		"all silent":                         {"qqqPPP", 10, true},
		"others answer in between":           {"uuauuauu", 10, false},
		"silent ones among others":           {"qqoqqoqq", 10, false},
		"none opened while old ones live on": {"uouopopop", 10, true},
		"failures far apart":                 {"uwuwuwu", 10, false},
		"only two servers, both fail":        {"uupp", 2, true},
		"only one server":                    {"up", 1, true},
		"reached again":                      {"uuuupppa", 10, false},
		"old connection answers only":        {"uuuupppo", 10, true},
		"cut off for long":                   {"uuupppwwww", 10, true},
		"cut off, reached, cut off":          {"uuupppauuuppp", 10, true},
		"a burst of failures, then ok":       {"uuuuuuupppqqqa", 10, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := reach.New()
			d.SetKnown(c.known)
			now, next, changes := time.UnixMilli(1_000_000), 0, 0
			d.OnChange = func(bool) { changes++ }
			for _, step := range c.steps {
				now = now.Add(time.Millisecond)
				next++
				server := ident.BackendServer(fmt.Sprint(next % 10))
				switch step {
				case 'u':
					d.RecordUnopened(now, server)
				case 'b':
					d.RecordBroken(now, server)
				case 'q':
					d.RecordSilent(now, server, now.Add(-500*time.Microsecond))
				case 'p', 'P':
					d.RecordProbe(now, server, step == 'P')
				case 'a', 'o':
					d.RecordAnswer(now, step == 'a')
				case 'w':
					now = now.Add(2 * time.Second)
				}
			}
			is.Equal(d.CutOff(), c.cutOff)
			is.Equal(changes%2 == 1, c.cutOff)
		})
	}
}

// TestSlowServersAreNotSilent checks that requests are not counted as silent if any server has answered since they were sent.
func TestSlowServersAreNotSilent(t *testing.T) {
	is := is.New(t)
	d := reach.New()
	d.SetKnown(10)
	now := time.UnixMilli(1_000_000)
	d.RecordAnswer(now, false)
	for _, server := range []ident.BackendServer{"a", "b", "c", "d"} {
		d.RecordSilent(now.Add(time.Second), server, now.Add(-time.Second))
	}
	is.True(!d.CutOff())
}

// TestProbes checks that a host probes only while servers fail, and at most four times a second.
func TestProbes(t *testing.T) {
	is := is.New(t)
	d := reach.New()
	d.SetKnown(10)
	now := time.UnixMilli(1_000_000)
	d.RecordAnswer(now, true)
	d.RecordUnopened(now, "a")
	is.True(!d.TakeProbe(now)) // one server may be down
	d.RecordUnopened(now, "b")
	probes := 0
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		d.RecordUnopened(now, "c")
		if d.TakeProbe(now) {
			probes++
		}
	}
	is.Equal(probes, 4)
	d.RecordAnswer(now, true)
	is.True(!d.TakeProbe(now.Add(time.Second)))
}
