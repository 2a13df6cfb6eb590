package watch_test

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/watch"
)

// step is one step of a scripted store.
type step struct {
	events []store.Event
	upTo   int64
	err    error // ends the watch
}

// script is a store that plays steps.
type script struct {
	mu    sync.Mutex
	full  []store.KV
	rev   int64
	steps chan step
	reads int
}

func (s *script) store() *store.Store {
	return &store.Store{
		Range: func(context.Context, string) ([]store.KV, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reads++
			return s.full, s.rev, nil
		},
		Watch: func(ctx context.Context, _ string, _ int64, handle func([]store.Event, int64)) error {
			for {
				select {
				case st := <-s.steps:
					if st.err != nil {
						return st.err
					}
					handle(st.events, st.upTo)
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
	}
}

func (s *script) set(revision int64, full ...store.KV) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.full, s.rev = full, revision
}

// decode reads a small format of the test's own: "config N", "server ID BORN BEAT", evacuations by key.
func decode(i watch.Item) (watch.Change, error) {
	switch {
	case i.Key == "config":
		var version int64
		if err := json.Unmarshal(i.Value, &version); err != nil {
			return watch.Change{}, err
		}
		return watch.Change{Table: &table.Config{Version: table.Version(version)}}, nil
	case strings.HasPrefix(i.Key, "server/"):
		id := ident.BackendServer(strings.TrimPrefix(i.Key, "server/"))
		if i.Deleted {
			return watch.Change{Removed: id}, nil
		}
		var beat int64
		if err := json.Unmarshal(i.Value, &beat); err != nil {
			return watch.Change{Removed: id}, err
		}
		return watch.Change{Server: &roster.Server{ID: id, Service: "a", Address: string(id), Zone: "z", Slots: 1, StartMillis: 1, Seq: beat}}, nil
	case i.Key == "evacuate/z":
		if i.Deleted {
			return watch.Change{Repopulate: "z"}, nil
		}
		return watch.Change{Evacuated: "z"}, nil
	}
	return watch.Change{}, nil
}

func start(t *testing.T, s *script) *watch.Watch {
	t.Helper()
	w := watch.New(watch.Seams{
		Store: s.store(), Decode: decode, Regions: map[ident.AvailabilityZone]ident.Region{"z": "r"},
		Log: slog.New(slog.DiscardHandler), Now: time.Now, Changed: func() {},
		Reader: func() (string, bool) { return "", false },
		Fetch: func(context.Context, string, ident.Revision) (wire.Copy, error) {
			return wire.Copy{}, errors.New("none")
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go w.Run(ctx)
	return w
}

func kv(key, value string, revision int64) store.KV {
	return store.KV{Key: []byte(key), Value: []byte(value), ModRevision: revision}
}

func put(key, value string, revision int64) store.Event {
	return store.Event{Key: key, Value: []byte(value), Revision: revision}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("did not happen: %s", what)
}

func ids(w *watch.Watch) string {
	var list []string
	for _, e := range w.Servers() {
		list = append(list, string(e.ID))
	}
	return strings.Join(list, " ")
}

// TestConfigurationNeverGoesBack offers earlier versions in each way that they may come.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := &script{steps: make(chan step)}
	s.set(10, kv("config", "7", 10))
	w := start(t, s)
	eventually(t, "version 7", func() bool { return w.Table() != nil && w.Table().Version == 7 })
	s.steps <- step{events: []store.Event{put("config", "9", 12)}, upTo: 12}
	eventually(t, "version 9", func() bool { return w.Table().Version == 9 })
	s.steps <- step{events: []store.Event{put("config", "8", 13)}, upTo: 13}
	s.steps <- step{events: []store.Event{put("config", "7", 11)}, upTo: 13}
	w.TakeCopy(wire.Copy{Full: true, Revision: 20, Items: []wire.Item{{Key: "config", Value: "8", Revision: 19}}})
	s.set(21, kv("config", "6", 21))
	s.steps <- step{err: store.ErrCompacted}
	eventually(t, "a second read", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.reads == 2 })
	eventually(t, "the read was taken in", func() bool { return w.Revision() == 21 })
	is.Equal(w.Table().Version, table.Version(9))
}

// TestServersAcrossGaps drops the history while servers come and go.
func TestServersAcrossGaps(t *testing.T) {
	is := is.New(t)
	s := &script{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9), kv("server/b", "1", 10))
	w := start(t, s)
	eventually(t, "two servers", func() bool { return ids(w) == "a b" })
	s.set(15, kv("config", "7", 1), kv("server/b", "4", 14), kv("server/c", "1", 15))
	s.steps <- step{err: store.ErrCompacted}
	eventually(t, "the servers of the second read", func() bool { return ids(w) == "b c" })
	s.steps <- step{events: []store.Event{put("server/c", "not a number", 16)}, upTo: 16}
	eventually(t, "an unreadable statement names no server", func() bool { return ids(w) == "b" })
	is.Equal(w.Revision(), ident.Revision(16))
}

// TestLapsedWhileAway keeps servers whose entries lapsed while the store was away, for the time they have to return.
func TestLapsedWhileAway(t *testing.T) {
	is := is.New(t)
	s := &script{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9), kv("server/b", "1", 10))
	w := start(t, s)
	eventually(t, "two servers", func() bool { return ids(w) == "a b" })
	s.steps <- step{err: store.ErrUnavailable}
	eventually(t, "the store is lost", w.StoreLost)
	s.steps <- step{events: []store.Event{{Key: "server/a", Revision: 11, Deleted: true}, {Key: "server/b", Revision: 12, Deleted: true}}, upTo: 12}
	eventually(t, "the store is back", func() bool { return !w.StoreLost() })
	is.Equal(ids(w), "a b")
	s.steps <- step{events: []store.Event{put("server/a", "5", 13)}, upTo: 13}
	eventually(t, "only the one that came back remains", func() bool { return ids(w) == "a" })
}

func TestEvacuation(t *testing.T) {
	s := &script{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9))
	w := start(t, s)
	eventually(t, "a server", func() bool { return ids(w) == "a" })
	s.steps <- step{events: []store.Event{put("evacuate/z", "{}", 11)}, upTo: 11}
	eventually(t, "no server", func() bool { return ids(w) == "" })
	s.steps <- step{events: []store.Event{{Key: "evacuate/z", Revision: 12, Deleted: true}}, upTo: 12}
	s.steps <- step{events: nil, upTo: 12}
	if ids(w) != "" {
		t.Fatal("a server is used before it has stated itself anew, although it may be cold")
	}
	s.steps <- step{events: []store.Event{put("server/a", "2", 13)}, upTo: 13}
	eventually(t, "the server is back", func() bool { return ids(w) == "a" })
}

// TestCopies passes changes on to a peer, whole at first and then only what matters.
func TestCopies(t *testing.T) {
	is := is.New(t)
	s := &script{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9), kv("server/b", "1", 10))
	reader := start(t, s)
	eventually(t, "the reader is loaded", reader.Loaded)
	follower := start(t, &script{steps: make(chan step)})
	c, ok := reader.Copy(context.Background(), 0)
	is.True(ok)
	is.True(c.Full)
	follower.TakeCopy(c)
	eventually(t, "two servers", func() bool { return ids(follower) == "a b" })
	s.steps <- step{events: []store.Event{put("server/a", "2", 11)}, upTo: 11} // a mere statement
	s.steps <- step{events: []store.Event{{Key: "server/b", Revision: 12, Deleted: true}}, upTo: 12}
	eventually(t, "the reader knows", func() bool { return ids(reader) == "a" })
	c, _ = reader.Copy(context.Background(), 10)
	is.True(!c.Full)
	is.Equal(len(c.Items), 1) // the deletion alone
	follower.TakeCopy(c)
	is.Equal(ids(follower), "a")
	is.Equal(follower.Revision(), ident.Revision(12))
}
