package store_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"jayshift/io/store"
)

// TestCountedCalls counts each call of a store by its name and how it ended.
func TestCountedCalls(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		result store.Result
	}{
		"answered":      {nil, store.OK},
		"conflict":      {store.ErrConflict, store.Conflict},
		"history gone":  {store.ErrCompacted, store.Compacted},
		"lease gone":    {store.ErrNoLease, store.NoLease},
		"no answer":     {store.ErrUnavailable, store.Unavailable},
		"ended by host": {context.Canceled, store.Ended},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			seen := map[string]store.Result{}
			inner := &store.Store{
				Range:     func(context.Context, string) ([]store.KV, int64, error) { return nil, 1, c.err },
				KeepAlive: func(context.Context, int64) error { return c.err },
				Grant:     func(context.Context, int64) (int64, error) { return 1, c.err },
				Revoke:    func(context.Context, int64) error { return c.err },
				Txn: func(context.Context, []store.Compare, []store.Write, []string) (int64, []store.KV, error) {
					return 1, nil, c.err
				},
				Watch: func(context.Context, string, int64, func([]store.Event, int64)) error { return c.err },
			}
			s := store.Counted(inner, func(call string, result store.Result) { seen[call] = result })
			ctx := context.Background()
			_, _, err := s.Range(ctx, "")
			is.Equal(err, c.err)
			_, _, err = s.Txn(ctx, nil, nil, nil)
			is.Equal(err, c.err)
			_, err = s.Grant(ctx, 1)
			is.Equal(err, c.err)
			is.Equal(s.KeepAlive(ctx, 1), c.err)
			is.Equal(s.Revoke(ctx, 1), c.err)
			is.Equal(s.Watch(ctx, "", 0, nil), c.err)
			for _, call := range []string{"range", "txn", "watch", "grant", "keep-alive", "revoke"} {
				is.Equal(seen[call], c.result) // call
			}
		})
	}
}
