package store

import (
	"context"
	"errors"
)

// Result is the outcome of a store call, as counted in metrics.
type Result string

// Results of store calls.
const (
	OK          Result = "ok"
	Conflict    Result = "conflict"
	Compacted   Result = "compacted"
	NoLease     Result = "no-lease"
	NewEra      Result = "new-era"
	Unavailable Result = "unavailable"
	Canceled    Result = "ended" // the context was canceled
)

// WithCallCounter returns a store that forwards all calls to s and counts each by name and result. A watch is counted
// once for each batch of events and once when it ends.
func WithCallCounter(s *Store, count func(call string, result Result)) *Store {
	return &Store{
		Range: func(ctx context.Context, prefix string) ([]KV, int64, error) {
			kvs, revision, err := s.Range(ctx, prefix)
			count("range", resultOf(err))
			return kvs, revision, err
		},
		Txn: func(ctx context.Context, compares []Compare, writes []Write, reads []string) (int64, []KV, error) {
			revision, kvs, err := s.Txn(ctx, compares, writes, reads)
			count("txn", resultOf(err))
			return revision, kvs, err
		},
		Watch: func(ctx context.Context, prefix string, startRevision int64, handle func(Batch)) error {
			err := s.Watch(ctx, prefix, startRevision, func(b Batch) {
				count("watch", OK)
				handle(b)
			})
			count("watch", resultOf(err))
			return err
		},
		Grant: func(ctx context.Context, seconds int64) (int64, error) {
			lease, err := s.Grant(ctx, seconds)
			count("grant", resultOf(err))
			return lease, err
		},
		KeepAlive: func(ctx context.Context, lease int64) error {
			err := s.KeepAlive(ctx, lease)
			count("keep-alive", resultOf(err))
			return err
		},
		Revoke: func(ctx context.Context, lease int64) error {
			err := s.Revoke(ctx, lease)
			count("revoke", resultOf(err))
			return err
		},
	}
}

func resultOf(err error) Result {
	switch {
	case err == nil:
		return OK
	case errors.Is(err, ErrConflict):
		return Conflict
	case errors.Is(err, ErrCompacted):
		return Compacted
	case errors.Is(err, ErrNoLease):
		return NoLease
	case errors.Is(err, ErrNewEra):
		return NewEra
	case errors.Is(err, context.Canceled):
		return Canceled
	}
	return Unavailable
}
