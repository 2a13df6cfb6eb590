package store

// Messages of the etcd v3 JSON gateway, as published in its API reference. Byte fields are encoded in base64, which
// encoding/json does for []byte, and 64-bit integers as strings.

type header struct {
	Revision int64 `json:"revision,string"`
}

// KV is a key with its value, its revisions and the id of its lease, 0 for none.
type KV struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Lease          int64  `json:"lease,string,omitempty"`
}

type rangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

type rangeResponse struct {
	Header header `json:"header"`
	KVs    []KV   `json:"kvs"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
}

type requestOp struct {
	Put    *putRequest    `json:"request_put,omitempty"`
	Delete *deleteRequest `json:"request_delete_range,omitempty"`
	Range  *rangeRequest  `json:"request_range,omitempty"`
}

type txnRequest struct {
	Compare []compare   `json:"compare,omitempty"`
	Success []requestOp `json:"success,omitempty"`
	Failure []requestOp `json:"failure,omitempty"`
}

type responseOp struct {
	Range *rangeResponse `json:"response_range,omitempty"`
}

type txnResponse struct {
	Header    header       `json:"header"`
	Succeeded bool         `json:"succeeded"`
	Responses []responseOp `json:"responses"`
}

type leaseGrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

type leaseResponse struct {
	ID  int64 `json:"ID,string"`
	TTL int64 `json:"TTL,string"`
}

type leaseRequest struct {
	ID int64 `json:"ID,string"`
}

type keepAliveResponse struct {
	Result leaseResponse `json:"result"`
}

type watchCreateRequest struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

type watchRequest struct {
	Create watchCreateRequest `json:"create_request"`
}

type watchEvent struct {
	Type string `json:"type,omitempty"`
	KV   KV     `json:"kv"`
}

type watchResult struct {
	Header          header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []watchEvent `json:"events,omitempty"`
}

type watchResponse struct {
	Result watchResult `json:"result"`
}
