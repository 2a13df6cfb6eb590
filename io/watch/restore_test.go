package watch_test

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/table"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/watch"
)

// drill is a store with its writers and hosts, in virtual time. The store is restored from a copy now and then.
type drill struct {
	random    *rand.Rand
	now       time.Time
	era       ident.Era
	hidesEra  bool // the broken variant: a restore does not begin a new era
	revision  int64
	items     map[string]wire.Item
	history   []wire.Item
	copies    []drill           // what the store held at the last steps
	written   map[string]string // what operators and servers want the store to hold
	version   int               // of the newest configuration
	hosts     []*watch.Watch
	awayUntil []time.Time
	versions  []table.Version // in force at the hosts
}

func newDrill(random *rand.Rand, hosts int) *drill {
	d := &drill{random: random, now: time.UnixMilli(1_700_000_000_000), era: 1, items: map[string]wire.Item{}, written: map[string]string{}}
	for range hosts {
		d.hosts = append(d.hosts, watch.New(watch.Deps{
			Decode: decode, Log: slog.New(slog.DiscardHandler), Now: func() time.Time { return d.now }, OnChange: func() {},
			RegionByZone: map[ident.AvailabilityZone]ident.Region{"z": "r"},
		}))
	}
	d.awayUntil = make([]time.Time, hosts)
	d.versions = make([]table.Version, hosts)
	return d
}

func (d *drill) put(key, value string, deleted bool) {
	d.revision++
	i := wire.Item{Key: key, Value: value, Revision: int(ident.NewRevision(d.era, d.revision)), Deleted: deleted}
	d.history = append(d.history, i)
	if deleted {
		delete(d.items, key)
		return
	}
	d.items[key] = i
}

// write makes an operator or a server write a key.
func (d *drill) write(key, value string) {
	d.written[key] = value
	d.put(key, value, false)
}

// restore brings the store back from a copy of some steps ago. Operators and servers then write again what they had written.
func (d *drill) restore() {
	old := d.copies[d.random.IntN(len(d.copies))]
	d.revision, d.items, d.history = old.revision, maps.Clone(old.items), nil
	if !d.hidesEra {
		d.era++
	}
	for key, i := range d.items {
		i.Revision = int(ident.NewRevision(d.era, ident.Revision(i.Revision).Number()))
		d.items[key] = i
	}
	d.version++
	d.write("config", strconv.Itoa(d.version))
	for range d.random.IntN(20) * d.random.IntN(2) { // a quiet store, or one that passes its old revisions
		d.put("other", "x", false)
	}
	d.copies = nil
}

// rewrite makes operators and servers write again what the store has lost or holds otherwise.
func (d *drill) rewrite() {
	for key, value := range d.written {
		if d.items[key].Value != value {
			d.put(key, value, false)
		}
	}
	for key := range d.items {
		if _, ok := d.written[key]; !ok && key != "other" {
			d.put(key, "", true)
		}
	}
}

// read makes a host read the store: the changes since its last read, or all keys if the store has no such history.
func (d *drill) read(host *watch.Watch) {
	after := host.Revision()
	c := wire.Copy{Revision: int(ident.NewRevision(d.era, d.revision))}
	first := d.revision - int64(len(d.history))
	if after == 0 || after.Era() != d.era || after.Number() < first || after.Number() > d.revision {
		c.Full = true
		for _, i := range d.items {
			c.Items = append(c.Items, i)
		}
	}
	for _, i := range d.history {
		if !c.Full && ident.Revision(i.Revision) > after {
			c.Items = append(c.Items, i)
		}
	}
	host.ApplyCopy(c, d.now)
}

// step makes one random write, perhaps a drill, and lets the hosts read the store or each other.
func (d *drill) step(t *testing.T) {
	d.now = d.now.Add(200 * time.Millisecond)
	switch d.random.IntN(6) {
	case 0:
		d.version++
		d.write("config", strconv.Itoa(d.version))
	case 1:
		d.write("evacuate/z", "{}")
	case 2:
		delete(d.written, "evacuate/z")
		d.put("evacuate/z", "", true)
	default:
		d.write(fmt.Sprintf("server/%d", d.random.IntN(4)), strconv.FormatInt(d.now.UnixMilli(), 10))
	}
	d.copies = append(d.copies, drill{revision: d.revision, items: maps.Clone(d.items)})
	d.copies = d.copies[max(0, len(d.copies)-10):]
	for i, host := range d.hosts {
		if d.random.IntN(30) == 0 {
			d.awayUntil[i] = d.now.Add(time.Duration(d.random.IntN(6000)) * time.Millisecond)
		}
		if d.now.Before(d.awayUntil[i]) {
			d.readPeer(i)
			continue
		}
		d.read(host)
	}
	d.checkVersions(t)
}

// readPeer makes a host that cannot reach the store copy it from another host, now and then from one that is behind.
func (d *drill) readPeer(i int) {
	peer := d.hosts[d.random.IntN(len(d.hosts))]
	if peer.Revision() == d.hosts[i].Revision() || d.random.IntN(2) == 0 {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if c, ok := peer.Copy(ctx, d.hosts[i].Revision()); ok {
		d.hosts[i].ApplyCopy(c, d.now)
	}
}

// checkVersions checks that no host goes back to an earlier configuration.
func (d *drill) checkVersions(t *testing.T) {
	for i, host := range d.hosts {
		if host.Table() == nil {
			continue
		}
		version := host.Table().Version
		if version < d.versions[i] {
			t.Errorf("host %d: version %d after %d", i, version, d.versions[i])
		}
		d.versions[i] = version
	}
}

// violations returns what a host believes other than what operators and servers have written.
func (d *drill) violations() []string {
	var list []string
	for i, host := range d.hosts {
		if int(host.Table().Version) != d.version {
			list = append(list, fmt.Sprintf("host %d has version %d, not %d", i, host.Table().Version, d.version))
		}
		c, _ := host.Copy(context.Background(), 0)
		held := map[string]string{}
		for _, i := range c.Items {
			held[i.Key] = i.Value
		}
		delete(held, "other")
		if held, written := withoutSeq(held), withoutSeq(d.written); !maps.Equal(held, written) {
			list = append(list, fmt.Sprintf("host %d holds %v, not %v", i, held, written))
		}
	}
	return list
}

// withoutSeq returns the keys and values without the numbers of servers' registrations, which hosts do not pass on alone.
func withoutSeq(values map[string]string) map[string]string {
	list := maps.Clone(values)
	for key := range list {
		if strings.HasPrefix(key, "server/") {
			list[key] = ""
		}
	}
	return list
}

// settle lets time pass until all that was lost is written again and read by all hosts, and returns the violations.
func (d *drill) settle() []string {
	d.now = d.now.Add(10 * time.Second)
	for _, host := range d.hosts {
		d.read(host)
		host.ApplyDue()
	}
	return d.violations()
}

// play plays random steps with up to three drills and returns the violations.
func (d *drill) play(t *testing.T) []string {
	var list []string
	for range 3 {
		for range 30 {
			d.step(t)
		}
		d.restore()
		for range d.random.IntN(4) {
			d.read(d.hosts[d.random.IntN(len(d.hosts))])
		}
		d.rewrite()
		if d.random.IntN(2) == 0 {
			list = append(list, d.settle()...)
		}
	}
	return append(list, d.settle()...)
}

// TestHostsFollowARestoredStore plays random writes, drills, cuts from the store and reads of peers that may be behind.
func TestHostsFollowARestoredStore(t *testing.T) {
	for n := range 100 {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			d := newDrill(rand.New(rand.NewPCG(uint64(n), 7)), 4)
			for _, v := range d.play(t) {
				t.Error(v)
			}
		})
	}
}

// TestDrillsAreNoticedOnlyByTheEra checks that the test above fails for hosts that do not see the era.
func TestDrillsAreNoticedOnlyByTheEra(t *testing.T) {
	caught := 0
	for n := range 20 {
		d := newDrill(rand.New(rand.NewPCG(uint64(n), 7)), 4)
		d.hidesEra = true
		if len(d.play(t)) > 0 {
			caught++
		}
	}
	is := is.New(t)
	is.True(caught >= 10)
}

// TestLostKeysStayUntilWrittenAgain checks that what a restore has lost is kept until it is written again, and is taken as
// the store has it once the time for that is over.
func TestLostKeysStayUntilWrittenAgain(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{steps: make(chan step)}
	era := func(e ident.Era, n int64) int64 { return int64(ident.NewRevision(e, n)) }
	s.set(era(1, 20), kv("config", "7", era(1, 1)), kv("server/a", "1", era(1, 9)), kv("evacuate/z", "{}", era(1, 20)))
	w := startWatch(t, s)
	eventually(t, "the zone is evacuated", func() bool { return w.Loaded() && serverIDs(w) == "" })
	s.set(era(2, 10), kv("config", "7", era(2, 1)), kv("server/a", "1", era(2, 9)))
	s.steps <- step{err: store.ErrNewEra}
	eventually(t, "the new era is read", func() bool { return w.Revision().Era() == 2 })
	is.Equal(serverIDs(w), "") // the evacuation is not over
	is.Equal(w.StoredRevision("evacuate/z"), ident.Revision(0))
	end := time.Now().Add(8 * time.Second)
	for serverIDs(w) == "" && time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
	}
	is.Equal(serverIDs(w), "a")
}

// TestPeerOfAYoungReaderHearsOfDeletions checks that a host gets all keys from a reader that has read the store only after keys
// were deleted that the host knows.
func TestPeerOfAYoungReaderHearsOfDeletions(t *testing.T) {
	is := is.New(t)
	d := newDrill(rand.New(rand.NewPCG(1, 1)), 2)
	d.write("config", "1")
	d.write("server/1", "5")
	d.read(d.hosts[0])
	d.put("server/1", "", true)
	d.write("config", "2")
	d.read(d.hosts[1])
	c, ok := d.hosts[1].Copy(context.Background(), d.hosts[0].Revision())
	is.True(ok)
	d.hosts[0].ApplyCopy(c, d.now)
	is.Equal(serverIDs(d.hosts[0]), "")
	is.Equal(d.hosts[0].Table().Version, table.Version(2))
}
