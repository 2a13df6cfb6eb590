// Package store is a client of the platform's key-value store. It uses the public JSON gateway of etcd v3.
package store

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
)

const (
	callTimeout      = 2 * time.Second
	watchIdleTimeout = 30 * time.Second // a watch without a message for this long fails with ErrUnavailable, to be reopened
	maxTxnOps        = 120              // etcd rejects transactions of more than 128 operations
)

var (
	// ErrUnavailable means that a call failed or got no response; a write may have been applied nevertheless.
	ErrUnavailable = merry.Sentinel("store unavailable")
	// ErrConflict means that a comparison failed and nothing was written, or that a lease to extend has expired.
	ErrConflict = merry.Sentinel("store: compare failed")
	// ErrCompacted means that the revision to watch from was compacted; a new watch must follow a full read.
	ErrCompacted = merry.Sentinel("store: revision compacted")
	// ErrNoLease means that a write referred to a lease that does not exist any more; nothing was written.
	ErrNoLease = merry.Sentinel("store: no such lease")
	// ErrTooLarge means that a transaction has more than maxTxnOps operations; it was not sent.
	ErrTooLarge = merry.Sentinel("store: too many operations")
)

// Compare requires that a key was last modified at the revision, or does not exist if the revision is 0.
type Compare struct {
	Key      string
	Revision int64
}

// Write puts a value, or deletes the key if Delete is set. Lease is the id of the lease that the key is attached to, 0
// for none.
type Write struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

// Event is a change of a key that a watch received.
type Event struct {
	Key            string
	Value          []byte
	Revision       int64
	CreateRevision int64 // revision at which the key was created
	Deleted        bool
}

// Batch is what a watch has received at once.
type Batch struct {
	Events   []Event
	Revision int64 // up to which the events are complete
	// AsOf is a time at which the store had nothing later than Revision, zero if that is not known.
	AsOf time.Time
}

// Store calls the platform's store. Tests and other store implementations replace the function fields. All revisions that
// it takes and returns hold the era of the store, see ident.Revision.
type Store struct {
	// Range returns all keys with the prefix and the store's revision at the read.
	Range func(ctx context.Context, prefix string) ([]KV, int64, error)
	// Txn applies all writes atomically if all compares hold, else it returns ErrConflict. It also returns the revision
	// and, in either case, the keys in reads that exist, with their values.
	Txn func(ctx context.Context, compares []Compare, writes []Write, reads []string) (int64, []KV, error)
	// Watch calls handle for each batch of events. It starts with the events at startRevision in a store that New returns,
	// and with those after it in one of package platform. It returns an error when the context ends or the watch fails.
	Watch func(ctx context.Context, prefix string, startRevision int64, handle func(Batch)) error
	// Grant creates a lease with a TTL in seconds and returns its id.
	Grant func(ctx context.Context, seconds int64) (int64, error)
	// KeepAlive extends a lease. It returns ErrConflict if the lease has expired.
	KeepAlive func(ctx context.Context, lease int64) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke func(ctx context.Context, lease int64) error

	calls atomic.Int64
}

// New returns a client of the gateway at the address, an IP address with port.
func New(address string) (*Store, error) {
	client, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(address), khttp.WithTimeout(callTimeout), khttp.WithBlock())
	if err != nil {
		return nil, merry.Prepend(err, "create store client")
	}
	s := &Store{}
	g := &gateway{client: client, watchClient: &http.Client{}, baseURL: "http://" + address, calls: &s.calls, eras: NewEras()}
	s.Range = g.readRange
	s.Txn = g.txn
	s.Watch = g.watch
	s.Grant = g.grant
	s.KeepAlive = g.keepAlive
	s.Revoke = g.revoke
	return s, nil
}

// Calls returns the number of calls made so far, including one for each watch that was opened.
func (s *Store) Calls() int64 { return s.calls.Load() }

// NewWriteID returns a unique id to store in a value. When the response to a write is lost, reading the value shows
// whether the write was applied.
func NewWriteID() string { return uuid.NewString() }
