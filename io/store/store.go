// Package store is a client of the platform's key-value store. It uses the public JSON gateway of etcd v3.
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

	"jayshift/core/ident"
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

type gateway struct {
	client      *khttp.Client
	watchClient *http.Client
	baseURL     string
	calls       *atomic.Int64
	eras        *Eras
}

// invoke calls the gateway and returns the era of its response.
func (g *gateway) invoke(ctx context.Context, path string, request, reply any) (ident.Era, error) {
	g.calls.Add(1)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	responseHeader := http.Header{}
	if err := g.client.Invoke(ctx, http.MethodPost, path, request, reply, khttp.Header(&responseHeader)); err != nil {
		return 0, merry.Prepend(ErrUnavailable, err.Error())
	}
	return g.eras.Observe(responseHeader)
}

// revision adds the era of a response to a revision in it.
func revision(era ident.Era, number int64) int64 { return int64(ident.NewRevision(era, number)) }

// withEra returns a key of a response of the given era.
func (kv KV) withEra(era ident.Era) KV {
	kv.CreateRevision = revision(era, kv.CreateRevision)
	kv.ModRevision = revision(era, kv.ModRevision)
	return kv
}

func (g *gateway) readRange(ctx context.Context, prefix string) ([]KV, int64, error) {
	var reply rangeResponse
	request := rangeRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix)}
	era, err := g.invoke(ctx, "/v3/kv/range", &request, &reply)
	if err != nil {
		return nil, 0, err
	}
	for i, kv := range reply.KVs {
		reply.KVs[i] = kv.withEra(era)
	}
	return reply.KVs, revision(era, reply.Header.Revision), nil
}

func (g *gateway) txn(ctx context.Context, compares []Compare, writes []Write, reads []string) (int64, []KV, error) {
	if len(writes)+len(reads) > maxTxnOps {
		return 0, nil, ErrTooLarge
	}
	if err := g.eras.CheckWrites(compares, writes); err != nil {
		return 0, nil, err
	}
	var reply txnResponse
	era, err := g.invoke(ctx, "/v3/kv/txn", newTxnRequest(compares, writes, reads), &reply)
	if err != nil {
		return 0, nil, err
	}
	var kvs []KV
	for _, r := range reply.Responses {
		if r.Range == nil {
			continue
		}
		for _, kv := range r.Range.KVs {
			kvs = append(kvs, kv.withEra(era))
		}
	}
	if g.eras.CheckWrites(compares, writes) != nil {
		return 0, kvs, ErrNewEra
	}
	if !reply.Succeeded {
		return revision(era, reply.Header.Revision), kvs, ErrConflict
	}
	return revision(era, reply.Header.Revision), kvs, nil
}

func newTxnRequest(compares []Compare, writes []Write, reads []string) *txnRequest {
	t := &txnRequest{}
	for _, c := range compares {
		t.Compare = append(t.Compare, compare{Key: []byte(c.Key), Target: "MOD", Result: "EQUAL", ModRevision: ident.Revision(c.Revision).Number()})
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
	era, err := g.invoke(ctx, "/v3/lease/grant", &leaseGrantRequest{TTL: seconds}, &reply)
	if err == nil {
		g.eras.RecordLease(reply.ID, era)
	}
	return reply.ID, err
}

func (g *gateway) keepAlive(ctx context.Context, lease int64) error {
	if g.eras.LeaseEnded(lease) {
		return ErrConflict
	}
	var reply keepAliveResponse
	_, err := g.invoke(ctx, "/v3/lease/keepalive", &leaseRequest{ID: lease}, &reply)
	if g.eras.LeaseEnded(lease) || err == nil && reply.Result.TTL <= 0 {
		return ErrConflict
	}
	return err
}

func (g *gateway) revoke(ctx context.Context, lease int64) error {
	ended := g.eras.LeaseEnded(lease)
	g.eras.ForgetLease(lease)
	if ended {
		return nil
	}
	_, err := g.invoke(ctx, "/v3/lease/revoke", &leaseRequest{ID: lease}, &struct{}{})
	return err
}

func (g *gateway) watch(ctx context.Context, prefix string, startRevision int64, handle func(Batch)) error {
	if err := g.eras.Follows(ident.Revision(startRevision)); err != nil {
		return err
	}
	g.calls.Add(1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body, err := json.Marshal(watchRequest{Create: watchCreateRequest{Key: []byte(prefix), RangeEnd: prefixEnd(prefix), StartRevision: ident.Revision(startRevision).Number()}})
	if err != nil {
		return merry.Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.baseURL+"/v3/watch", bytes.NewReader(body))
	if err != nil {
		return merry.Wrap(err)
	}
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()
	response, err := g.watchClient.Do(request)
	if err != nil {
		return merry.Prepend(ErrUnavailable, err.Error())
	}
	defer response.Body.Close()
	era, err := g.eras.Observe(response.Header)
	if err != nil {
		return err
	}
	if era != ident.Revision(startRevision).Era() {
		return ErrNewEra
	}
	return readWatch(response.Body, era, handle, func() { idleTimer.Reset(watchIdleTimeout) })
}

// readWatch reads the messages of a watch that was opened in the given era.
func readWatch(stream io.Reader, era ident.Era, handle func(Batch), onMessage func()) error {
	decoder := json.NewDecoder(stream)
	for {
		var message watchResponse
		if err := decoder.Decode(&message); err != nil {
			return merry.Prepend(ErrUnavailable, err.Error())
		}
		onMessage()
		if message.Result.CompactRevision > 0 {
			return ErrCompacted
		}
		if message.Result.Canceled {
			return ErrUnavailable
		}
		if len(message.Result.Events) > 0 {
			handle(Batch{Events: toEvents(era, message.Result.Events), Revision: revision(era, message.Result.Header.Revision)})
		}
	}
}

func toEvents(era ident.Era, list []watchEvent) []Event {
	events := make([]Event, len(list))
	for i, e := range list {
		kv := e.KV.withEra(era)
		events[i] = Event{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision, CreateRevision: kv.CreateRevision, Deleted: e.Type == "DELETE"}
	}
	return events
}

func prefixEnd(prefix string) []byte {
	end := []byte(prefix)
	end[len(end)-1]++
	return end
}
