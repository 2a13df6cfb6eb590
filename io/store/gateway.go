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

	"jayshift/core/ident"
)

// gateway calls the JSON gateway of etcd v3.
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
