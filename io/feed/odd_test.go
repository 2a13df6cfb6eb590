package feed_test

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/feed"
	"jayshift/io/store"
)

// oddResources are values that another writer may leave among the resources.
func oddResources() map[string]string {
	const depth = 200_000
	return map[string]string{
		"nested":      strings.Repeat("[", depth) + strings.Repeat("]", depth),
		"nested-open": strings.Repeat(`{"team":`, depth),
		"huge-rate":   `{"kind":"team","name":"odd","team":{"rate":1e999,"burst":1,"parts":1}}`,
		"long-number": `{"kind":"team","name":"odd","team":{"rate":1,"burst":1,"parts":` + strings.Repeat("9", 5000) + `}}`,
		"no-content":  `{"kind":"team","name":"odd"}`,
		"not-text":    "\xff\xfe\x00",
		"empty":       "",
	}
}

// TestOddResourcesDoNotEndTheFollowing leaves odd resources in the list and in a watch. The host must take the others, and
// follow later changes.
func TestOddResourcesDoNotEndTheFollowing(t *testing.T) {
	is := is.New(t)
	revision := int64(0)
	team := func(name string) store.Event {
		revision++
		value := `{"kind":"team","name":"` + name + `","team":{"rate":5,"burst":5,"parts":1}}`
		return store.Event{Key: feed.ResourceKey("team", name), Value: []byte(value), Revision: revision, CreateRevision: revision}
	}
	odd := func() []store.Event {
		var list []store.Event
		for name, value := range oddResources() {
			revision++
			list = append(list, store.Event{Key: feed.ResourceKey("team", name), Value: []byte(value), Revision: revision, CreateRevision: revision})
		}
		return list
	}
	head := func() store.Event {
		revision++
		return store.Event{Key: feed.HeadKey, Value: []byte("{}"), Revision: revision, CreateRevision: revision}
	}
	listed := append(odd(), team("listed"), head())
	batches := make(chan store.Batch, 2)
	var fullReads atomic.Int64
	f := feed.New(&store.Store{
		Range: func(context.Context, string) ([]store.KV, int64, error) {
			fullReads.Add(1)
			var kvs []store.KV
			for _, e := range listed {
				kvs = append(kvs, store.KV{Key: []byte(e.Key), Value: e.Value, ModRevision: e.Revision, CreateRevision: e.CreateRevision})
			}
			return kvs, listed[len(listed)-1].Revision, nil
		},
		Watch: func(ctx context.Context, _ string, _ int64, handle func(store.Batch)) error {
			for {
				select {
				case b := <-batches:
					handle(b)
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		},
	}, slog.New(slog.DiscardHandler), feed.Callbacks{OnTable: func(wire.SeatTable, ident.Revision) {}, OnConfig: func(*config.Snapshot) {}})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.Run(ctx)
	has := func(name string) bool {
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if _, ok := f.Snapshot().Get(config.ResourceID{Kind: "team", Name: name}); ok {
				return true
			}
		}
		return false
	}
	is.True(has("listed"))
	batches <- store.Batch{Events: append(odd(), team("watched"), head()), Revision: revision}
	is.True(has("watched"))
	batches <- store.Batch{Events: []store.Event{team("later"), head()}, Revision: revision}
	is.True(has("later"))
	is.Equal(fullReads.Load(), int64(1)) // the watch goes on
	for name := range oddResources() {
		_, ok := f.Snapshot().Get(config.ResourceID{Kind: "team", Name: name})
		is.True(!ok)
	}
}
