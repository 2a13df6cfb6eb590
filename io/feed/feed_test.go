package feed_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/internal/seed"
	"jayshift/io/feed"
	"jayshift/io/store"
)

func TestMain(m *testing.M) { os.Exit(seed.Run(m)) }

// history is a sequence of changes and the configuration after each number of them.
type history struct {
	changes []wire.Resource
	configs []map[string]wire.Resource
}

func newHistory(t *rapid.T) history {
	h := history{configs: []map[string]wire.Resource{{}}}
	for i := range rapid.IntRange(1, 20).Draw(t, "changes") {
		name := fmt.Sprintf("t%d", rapid.IntRange(0, 3).Draw(t, "name"))
		r := wire.Resource{Kind: "team", Name: name, Revision: i + 1, Team: &wire.Team{Rate: float64(i + 1), Burst: 1}}
		r.Deleted = rapid.IntRange(0, 3).Draw(t, "deleted") == 0
		next := map[string]wire.Resource{}
		for k, v := range h.configs[i] {
			next[k] = v
		}
		delete(next, name)
		if !r.Deleted {
			next[name] = r
		}
		h.changes = append(h.changes, r)
		h.configs = append(h.configs, next)
	}
	return h
}

// delta returns the delta from one revision to a later one, as a peer or the watch sends it. From revision 0 it is the
// full configuration.
func (h history) delta(from, to int) wire.Delta {
	d := wire.Delta{Base: from, Revision: to}
	if from == 0 {
		for _, r := range h.configs[to] {
			d.Resources = append(d.Resources, r)
		}
		return d
	}
	d.Resources = append(d.Resources, h.changes[from:to]...)
	return d
}

// TestNeverReverts applies deltas and full configurations late, repeatedly and in any order. It checks that the revision
// never decreases and that the snapshot is always the complete configuration of its revision.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		last := ident.Revision(0)
		f := feed.New(&store.Store{}, slog.New(slog.NewTextHandler(io.Discard, nil)), feed.Callbacks{
			OnTable: func(wire.SeatTable, ident.Revision) {}, OnConfig: func(*config.Snapshot) {},
		})
		for range rapid.IntRange(1, 30).Draw(t, "messages") {
			to := rapid.IntRange(1, len(h.changes)).Draw(t, "to")
			from := rapid.IntRange(0, to).Draw(t, "from")
			_ = f.ApplyDelta(h.delta(from, to))
			s := f.Snapshot()
			if s.Revision < last {
				t.Fatalf("revision decreased from %d to %d", last, s.Revision)
			}
			last = s.Revision
			want := h.configs[s.Revision]
			if len(s.Resources()) != len(want) {
				t.Fatalf("revision %d holds %v, want %v", s.Revision, s.Resources(), want)
			}
			for _, r := range s.Resources() {
				if r.Revision != want[r.Name].Revision {
					t.Fatalf("revision %d holds %s of revision %d, want %d", s.Revision, r.Name, r.Revision, want[r.Name].Revision)
				}
			}
		}
	})
}

// TestLateStoreAnswer checks that an older configuration read from the store does not replace a newer one that a peer
// sent before.
func TestLateStoreAnswer(t *testing.T) {
	old, _ := json.Marshal(wire.Resource{Kind: "team", Name: "t", Team: &wire.Team{Rate: 1, Burst: 1}})
	s := &store.Store{
		Range: func(context.Context, string) ([]store.KV, int64, error) {
			return []store.KV{
				{Key: []byte(feed.HeadKey), ModRevision: 5}, {Key: []byte(feed.ResourceKey("team", "t")), Value: old, ModRevision: 5},
			}, 5, nil
		},
		Watch: func(ctx context.Context, _ string, _ int64, _ func(store.Batch)) error {
			<-ctx.Done()
			return store.ErrUnavailable
		},
	}
	f := feed.New(s, slog.New(slog.NewTextHandler(io.Discard, nil)), feed.Callbacks{
		OnTable: func(wire.SeatTable, ident.Revision) {}, OnConfig: func(*config.Snapshot) {},
	})
	newer := wire.Resource{Kind: "team", Name: "t", Revision: 9, Team: &wire.Team{Rate: 9, Burst: 1}}
	if err := f.ApplyDelta(wire.Delta{Revision: 9, Resources: []wire.Resource{newer}}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	f.Run(ctx)
	team, _ := f.Snapshot().Team("t")
	if f.Snapshot().Revision != 9 || team.Rate != 9 {
		t.Fatalf("reverted to revision %d", f.Snapshot().Revision)
	}
}
