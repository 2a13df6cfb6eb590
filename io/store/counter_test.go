package store_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"jayshift/io/store"
)

// TestCallsAreCounted checks that every store call is counted under its name with the result that matches its error.
func TestCallsAreCounted(t *testing.T) {
	for name, c := range map[string]struct {
		err    error
		result store.Result
	}{
		"success":     {nil, store.OK},
		"conflict":    {store.ErrConflict, store.Conflict},
		"compacted":   {store.ErrCompacted, store.Compacted},
		"no lease":    {store.ErrNoLease, store.NoLease},
		"unavailable": {store.ErrUnavailable, store.Unavailable},
		"canceled":    {context.Canceled, store.Canceled},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			counted := map[string]store.Result{}
			inner := &store.Store{
				Range:     func(context.Context, string) ([]store.KV, int64, error) { return nil, 1, c.err },
				KeepAlive: func(context.Context, int64) error { return c.err },
				Grant:     func(context.Context, int64) (int64, error) { return 1, c.err },
				Revoke:    func(context.Context, int64) error { return c.err },
				Txn: func(context.Context, []store.Compare, []store.Write, []string) (int64, []store.KV, error) {
					return 1, nil, c.err
				},
				Watch: func(context.Context, string, int64, func(store.Batch)) error { return c.err },
			}
			s := store.WithCallCounter(inner, func(call string, result store.Result) { counted[call] = result })
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
				is.Equal(counted[call], c.result) // call
			}
		})
	}
}
