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

// step is one step of a scriptedStore: a batch of events, or an error that ends the watch.
type step struct {
	events   []store.Event
	revision int64
	err      error // if set, ends the watch
}

// scriptedStore is a store that replays steps.
type scriptedStore struct {
	mu        sync.Mutex
	kvs       []store.KV
	revision  int64
	steps     chan step
	fullReads int
}

func (s *scriptedStore) store() *store.Store {
	return &store.Store{
		Range: func(context.Context, string) ([]store.KV, int64, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.fullReads++
			return s.kvs, s.revision, nil
		},
		Watch: func(ctx context.Context, _ string, _ int64, handle func(store.Batch)) error {
			for {
				select {
				case st := <-s.steps:
					if st.err != nil {
						return st.err
					}
					handle(store.Batch{Events: st.events, Revision: st.revision, AsOf: time.Now()})
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
	}
}

func (s *scriptedStore) set(revision int64, kvs ...store.KV) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kvs, s.revision = kvs, revision
}

// decode decodes the format of these tests: the key config holds a version, server/ID the Seq of a registration, and
// evacuate/z exists during an evacuation.
func decode(i watch.Item) (watch.Change, error) {
	switch {
	case i.Key == "config":
		var version int64
		if err := json.Unmarshal(i.Value, &version); err != nil {
			return watch.Change{}, err
		}
		return watch.Change{Config: &table.Config{Version: table.Version(version)}}, nil
	case strings.HasPrefix(i.Key, "server/"):
		id := ident.BackendServer(strings.TrimPrefix(i.Key, "server/"))
		if i.Deleted {
			return watch.Change{RemovedServer: id}, nil
		}
		var seq int64
		if err := json.Unmarshal(i.Value, &seq); err != nil {
			return watch.Change{RemovedServer: id}, err
		}
		return watch.Change{Server: &roster.Server{ID: id, Service: "a", Address: string(id), Zone: "z", Slots: 1, StartMillis: 1, Seq: seq}}, nil
	case i.Key == "evacuate/z":
		if i.Deleted {
			return watch.Change{EvacuationEnded: "z"}, nil
		}
		return watch.Change{EvacuatedZone: "z"}, nil
	}
	return watch.Change{}, nil
}

func startWatch(t *testing.T, s *scriptedStore) *watch.Watch {
	t.Helper()
	w := watch.New(watch.Deps{
		Store: s.store(), Decode: decode, RegionByZone: map[ident.AvailabilityZone]ident.Region{"z": "r"},
		Log: slog.New(slog.DiscardHandler), Now: time.Now, OnChange: func() {},
		PeerReader: func(string) (string, bool) { return "", false },
		FetchCopy: func(context.Context, string, ident.Revision) (wire.Copy, error) {
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

func eventually(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("timed out waiting for: %s", condition)
}

func serverIDs(w *watch.Watch) string {
	var list []string
	for _, e := range w.Servers() {
		list = append(list, string(e.ID))
	}
	return strings.Join(list, " ")
}

// TestConfigurationNeverGoesBack checks that an earlier version does not replace the configuration in force, whether it
// arrives in an event, in a peer's copy or in a full read after the store dropped its history.
func TestConfigurationNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{steps: make(chan step)}
	s.set(10, kv("config", "7", 10))
	w := startWatch(t, s)
	eventually(t, "version 7", func() bool { return w.Table() != nil && w.Table().Version == 7 })
	s.steps <- step{events: []store.Event{put("config", "9", 12)}, revision: 12}
	eventually(t, "version 9", func() bool { return w.Table().Version == 9 })
	s.steps <- step{events: []store.Event{put("config", "8", 13)}, revision: 13}
	s.steps <- step{events: []store.Event{put("config", "7", 11)}, revision: 13}
	w.ApplyCopy(wire.Copy{Full: true, Revision: 20, Items: []wire.Item{{Key: "config", Value: "8", Revision: 19}}}, time.Now())
	s.set(21, kv("config", "6", 21))
	s.steps <- step{err: store.ErrCompacted}
	eventually(t, "a second read", func() bool { s.mu.Lock(); defer s.mu.Unlock(); return s.fullReads == 2 })
	eventually(t, "the second read is applied", func() bool { return w.Revision() == 21 })
	is.Equal(w.Table().Version, table.Version(9))
}

// TestServersAcrossGaps checks the servers after registrations were added and removed in a part of the history that the
// store had dropped, and that an undecodable registration removes its server.
func TestServersAcrossGaps(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9), kv("server/b", "1", 10))
	w := startWatch(t, s)
	eventually(t, "two servers", func() bool { return serverIDs(w) == "a b" })
	s.set(15, kv("config", "7", 1), kv("server/b", "4", 14), kv("server/c", "1", 15))
	s.steps <- step{err: store.ErrCompacted}
	eventually(t, "the servers of the second read", func() bool { return serverIDs(w) == "b c" })
	s.steps <- step{events: []store.Event{put("server/c", "not a number", 16)}, revision: 16}
	eventually(t, "the server with an undecodable registration is removed", func() bool { return serverIDs(w) == "b" })
	is.Equal(w.Revision(), ident.Revision(16))
}

// TestLapsedWhileAway checks that servers whose registrations expired during a store outage are not removed until
// removalDelay has passed, and that those that have not registered again are then removed.
func TestLapsedWhileAway(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9), kv("server/b", "1", 10))
	w := startWatch(t, s)
	eventually(t, "two servers", func() bool { return serverIDs(w) == "a b" })
	s.steps <- step{err: store.ErrUnavailable}
	eventually(t, "the store is lost", w.StoreLost)
	s.steps <- step{events: []store.Event{{Key: "server/a", Revision: 11, Deleted: true}, {Key: "server/b", Revision: 12, Deleted: true}}, revision: 12}
	eventually(t, "the store is regained", func() bool { return !w.StoreLost() })
	is.Equal(serverIDs(w), "a b")
	s.steps <- step{events: []store.Event{put("server/a", "5", 13)}, revision: 13}
	eventually(t, "only the server that registered again remains", func() bool { return serverIDs(w) == "a" })
}

// TestEvacuation checks that a server of an evacuated zone is not used until it registers again after the evacuation.
func TestEvacuation(t *testing.T) {
	s := &scriptedStore{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9))
	w := startWatch(t, s)
	eventually(t, "a server", func() bool { return serverIDs(w) == "a" })
	s.steps <- step{events: []store.Event{put("evacuate/z", "{}", 11)}, revision: 11}
	eventually(t, "no server", func() bool { return serverIDs(w) == "" })
	s.steps <- step{events: []store.Event{{Key: "evacuate/z", Revision: 12, Deleted: true}}, revision: 12}
	s.steps <- step{events: nil, revision: 12}
	if serverIDs(w) != "" {
		t.Fatal("a server is used before it has registered again, although it may be cold")
	}
	s.steps <- step{events: []store.Event{put("server/a", "2", 13)}, revision: 13}
	eventually(t, "the server is back", func() bool { return serverIDs(w) == "a" })
}

// TestCopies checks that a peer gets a full copy first and then only the relevant changes.
func TestCopies(t *testing.T) {
	is := is.New(t)
	s := &scriptedStore{steps: make(chan step)}
	s.set(10, kv("config", "7", 1), kv("server/a", "1", 9), kv("server/b", "1", 10))
	reader := startWatch(t, s)
	eventually(t, "the reader is loaded", reader.Loaded)
	follower := startWatch(t, &scriptedStore{steps: make(chan step)})
	c, ok := reader.Copy(context.Background(), 0)
	is.True(ok)
	is.True(c.Full)
	follower.ApplyCopy(c, time.Now())
	eventually(t, "two servers", func() bool { return serverIDs(follower) == "a b" })
	s.steps <- step{events: []store.Event{put("server/a", "2", 11)}, revision: 11} // a registration with a new Seq only
	s.steps <- step{events: []store.Event{{Key: "server/b", Revision: 12, Deleted: true}}, revision: 12}
	eventually(t, "the reader has applied the deletion", func() bool { return serverIDs(reader) == "a" })
	c, _ = reader.Copy(context.Background(), 10)
	is.True(!c.Full)
	is.Equal(len(c.Items), 1) // only the deletion
	follower.ApplyCopy(c, time.Now())
	is.Equal(serverIDs(follower), "a")
	is.Equal(follower.Revision(), ident.Revision(12))
}

// TestPanicLeavesOutTheValue checks that a value whose decoding panics is left out, and the values after it are applied.
func TestPanicLeavesOutTheValue(t *testing.T) {
	is := is.New(t)
	w := watch.New(watch.Deps{
		Log: slog.New(slog.DiscardHandler), Now: time.Now, OnChange: func() {},
		Decode: func(i watch.Item) (watch.Change, error) {
			if i.Key == "bad" {
				panic("malformed")
			}
			return watch.Change{EvacuatedZone: "z"}, nil
		},
	})
	w.ApplyCopy(wire.Copy{Full: true, Revision: 2, Items: []wire.Item{{Key: "bad", Revision: 1}, {Key: "good", Revision: 2}}}, time.Now())
	is.Equal(w.Revision(), ident.Revision(2))
	c, ok := w.Copy(context.Background(), 0)
	is.True(ok)
	is.Equal(len(c.Items), 2)
}
