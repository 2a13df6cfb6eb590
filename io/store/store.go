// Package store is the client of the platform's key-value store, over the published JSON gateway of etcd v3.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
)

const (
	callTimeout  = 2 * time.Second
	watchSilence = 30 * time.Second // a watch that says nothing for longer is opened again
	maxTxnOps    = 120              // etcd refuses transactions of more than 128 operations
)

var (
	// ErrUnavailable means that the store did not answer; a write may have landed all the same.
	ErrUnavailable = merry.Sentinel("store unavailable")
	// ErrConflict means that a compare failed and nothing was written.
	ErrConflict = merry.Sentinel("store: compare failed")
	// ErrCompacted means that a watch must start again from a full read.
	ErrCompacted = merry.Sentinel("store: revision compacted")
	// ErrNoLease means that a write named a lease that has ended; nothing was written.
	ErrNoLease = merry.Sentinel("store: no such lease")
	// ErrTooLarge means that a transaction has too many operations.
	ErrTooLarge = merry.Sentinel("store: too many operations")
)

// Compare requires a key to stand at a revision; revision 0 requires that it does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Write puts a value, or deletes the key when Delete is set. Lease ties the key to a lease.
type Write struct {
	Key    string
	Value  []byte
	Lease  int64
	Delete bool
}

// Event is one change that a watch saw.
type Event struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64 // revision of the key's creation
	Deleted  bool
}

// Store calls the platform's store. The function fields are the seams for tests and for other stores.
type Store struct {
	// Range reads all keys with the prefix, and the store revision of the read.
	Range func(ctx context.Context, prefix string) ([]KV, int64, error)
	// Txn writes all or nothing, and returns the revision; reads lists keys to read in the same step.
	Txn func(ctx context.Context, compares []Compare, writes []Write, reads []string) (int64, []KV, error)
	// Watch calls handle for each batch of changes from the revision on, with the revision that the batch is complete to,
	// until the context ends or the watch fails.
	Watch func(ctx context.Context, prefix string, from int64, handle func([]Event, int64)) error
	// Grant takes a lease of so many seconds.
	Grant func(ctx context.Context, seconds int64) (int64, error)
	// KeepAlive extends a lease; ErrConflict means that it has lapsed.
	KeepAlive func(ctx context.Context, lease int64) error
	// Revoke ends a lease and removes its keys.
	Revoke func(ctx context.Context, lease int64) error

	calls atomic.Int64
}

// New returns a client of the gateway at the address, an IP number and port.
func New(address string) (*Store, error) {
	client, err := khttp.NewClient(context.Background(),
		khttp.WithEndpoint(address), khttp.WithTimeout(callTimeout), khttp.WithBlock())
	if err != nil {
		return nil, merry.Prepend(err, "store client")
	}
	s := &Store{}
	g := &gateway{client: client, streams: &http.Client{}, base: "http://" + address, calls: &s.calls}
	s.Range = g.readRange
	s.Txn = g.txn
	s.Watch = g.watch
	s.Grant = g.grant
	s.KeepAlive = g.keepAlive
	s.Revoke = g.revoke
	return s, nil
}

// Calls returns how many calls were made, each opened watch counted as one.
func (s *Store) Calls() int64 { return s.calls.Load() }

// NewWriteID returns a unique identity to put into a value, so that a lost answer can be settled by reading.
func NewWriteID() string { return uuid.NewString() }

type gateway struct {
	client  *khttp.Client
	streams *http.Client
	base    string
	calls   *atomic.Int64
}

func (g *gateway) invoke(ctx context.Context, path string, request, reply any) error {
	g.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := g.client.Invoke(ctx, http.MethodPost, path, request, reply); err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	return nil
}

func (g *gateway) readRange(ctx context.Context, prefix string) ([]KV, int64, error) {
	var reply rangeResponse
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	if err := g.invoke(ctx, "/v3/kv/range", &request, &reply); err != nil {
		return nil, 0, err
	}
	return reply.KVs, reply.Header.Revision, nil
}

func (g *gateway) txn(ctx context.Context, compares []Compare, writes []Write, reads []string) (int64, []KV, error) {
	if len(writes)+len(reads) > maxTxnOps {
		return 0, nil, ErrTooLarge
	}
	var reply txnResponse
	if err := g.invoke(ctx, "/v3/kv/txn", newTxn(compares, writes, reads), &reply); err != nil {
		return 0, nil, err
	}
	var found []KV
	for _, r := range reply.Responses {
		if r.Range != nil {
			found = append(found, r.Range.KVs...)
		}
	}
	if !reply.Succeeded {
		return reply.Header.Revision, found, ErrConflict
	}
	return reply.Header.Revision, found, nil
}

func newTxn(compares []Compare, writes []Write, reads []string) *txnRequest {
	t := &txnRequest{}
	for _, c := range compares {
		t.Compare = append(t.Compare, compare{Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: c.Revision})
	}
	for _, w := range writes {
		if w.Delete {
			t.Success = append(t.Success, requestOp{Delete: &deleteRequest{Key: []byte(w.Key)}})
			continue
		}
		t.Success = append(t.Success, requestOp{Put: &putRequest{Key: []byte(w.Key), Value: w.Value, Lease: w.Lease}})
	}
	for _, key := range reads {
		op := requestOp{Range: &rangeRequest{Key: []byte(key)}}
		t.Success = append(t.Success, op)
		t.Failure = append(t.Failure, op)
	}
	return t
}

func (g *gateway) grant(ctx context.Context, seconds int64) (int64, error) {
	var reply leaseResponse
	err := g.invoke(ctx, "/v3/lease/grant", &leaseGrantRequest{TTL: seconds}, &reply)
	return reply.ID, err
}

func (g *gateway) keepAlive(ctx context.Context, lease int64) error {
	var reply keepAliveResponse
	if err := g.invoke(ctx, "/v3/lease/keepalive", &leaseRequest{ID: lease}, &reply); err != nil {
		return err
	}
	if reply.Result.TTL <= 0 {
		return ErrConflict
	}
	return nil
}

func (g *gateway) revoke(ctx context.Context, lease int64) error {
	return g.invoke(ctx, "/v3/lease/revoke", &leaseRequest{ID: lease}, &struct{}{})
}

func (g *gateway) watch(ctx context.Context, prefix string, from int64, handle func([]Event, int64)) error {
	g.calls.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := json.Marshal(watchRequest{Create: watchCreate{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: from}})
	if err != nil {
		return merry.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.base+"/v3/watch", bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	silence := time.AfterFunc(watchSilence, cancel)
	defer silence.Stop()
	response, err := g.streams.Do(request)
	if err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	return readWatch(response.Body, handle, func() { silence.Reset(watchSilence) })
}

func readWatch(stream io.Reader, handle func([]Event, int64), alive func()) error {
	decoder := json.NewDecoder(stream)
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return merry.Prepend(ErrUnavailable, err.Error())
		}
		alive()
		if message.Result.CompactRevision > 0 {
			return ErrCompacted
		}
		if message.Result.Canceled {
			return ErrUnavailable
		}
		if len(message.Result.Events) > 0 {
			handle(eventsOf(message.Result.Events), message.Result.Header.Revision)
		}
	}
}

func eventsOf(list []watchEvent) []Event {
	events := make([]Event, len(list))
	for i, e := range list {
		events[i] = Event{Key: string(e.KV.Key), Value: e.KV.Value, Revision: e.KV.ModRevision, Created: e.KV.CreateRevision, Deleted: e.Type == "DELETE"}
	}
	return events
}

func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
