package watch_test

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/store"
	"jayshift/io/watch"
)

// readers are the peers that read the store for a host: x, and y if x has failed. It counts the calls to them and to the
// store.
type readers struct {
	mu      sync.Mutex
	failing map[string]bool
	fetched map[string]int
	watched int
}

func (r *readers) reader(failed string) (string, bool) {
	if failed == "x" {
		return "y", true
	}
	return "x", true
}

func (r *readers) fetch(_ context.Context, address string, after ident.Revision) (wire.Copy, error) {
	time.Sleep(10 * time.Millisecond)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fetched[address]++
	if r.failing[address] {
		return wire.Copy{}, errors.New("failed")
	}
	return wire.Copy{Revision: int(after)}, nil
}

func (r *readers) store() *store.Store {
	return &store.Store{
		Range: func(context.Context, string) ([]store.KV, int64, error) {
			return []store.KV{kv("config", "1", 1)}, 1, nil
		},
		Watch: func(ctx context.Context, _ string, _ int64, handle func(store.Batch)) error {
			r.mu.Lock()
			r.watched++
			r.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			handle(store.Batch{Revision: 1, AsOf: time.Now()})
			return ctx.Err()
		},
	}
}

func (r *readers) counts() (x, y, watched int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.fetched["x"], r.fetched["y"], r.watched
}

// TestFailedReader checks that a host whose reader fails uses another one, and reads the store itself only if that fails
// too: otherwise all hosts of a region would read the store whenever their reader is lost.
func TestFailedReader(t *testing.T) {
	is := is.New(t)
	r := &readers{failing: map[string]bool{"x": true}, fetched: map[string]int{}}
	w := watch.New(watch.Deps{
		Store: r.store(), Decode: decode, Log: slog.New(slog.DiscardHandler), Now: time.Now, OnChange: func() {},
		PeerReader: r.reader, FetchCopy: r.fetch,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	eventually(t, "the other reader is used", func() bool { _, y, _ := r.counts(); return y > 5 })
	x, _, watched := r.counts()
	is.Equal(x, 1)       // the failed reader is left alone
	is.Equal(watched, 0) // the store is not read
	r.mu.Lock()
	r.failing["y"] = true
	r.mu.Unlock()
	eventually(t, "the store is read", func() bool { _, _, watched := r.counts(); return watched > 0 })
}
