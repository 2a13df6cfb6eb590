package peer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	// CopyPath is where a host gives peers what it knows of the store.
	CopyPath    = "/v1/copy"
	copyPause   = 700 * time.Millisecond
	copyTimeout = 1100 * time.Millisecond
	mostCopy    = 64 << 20 // bytes
)

var copies = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}

// ServeCopy gives a peer what this host knows of the store: to one that reads through this host, what has changed; to one
// that has lost the store, whatever is known.
func (p *Peers) ServeCopy(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get(afterField), 10, 64)
	if err != nil {
		after = 0
	}
	if r.URL.Query().Has(readField) && !p.seams.Watch.StoreFresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	c, ok := p.seams.Watch.Copy(r.Context(), ident.Revision(after))
	if !ok || r.URL.Query().Has(readField) && !p.seams.Watch.StoreFresh() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if err := cbor.NewEncoder(w).Encode(c); err != nil {
		p.seams.Log.Warn("copy not sent", "error", err.Error())
	}
}

// Fields of the question for a copy.
const (
	afterField = "after" // revision that is known
	readField  = "read"  // set when the asked host must hear from the store itself
)

// Fetch asks the host that reads the store for this one what has changed after the revision.
func Fetch(ctx context.Context, address string, after ident.Revision) (wire.Copy, error) {
	return fetch(ctx, address, after, "&"+readField+"=1")
}

// catchUp takes a copy from a peer while this host cannot read the store: from one that knows more, or from any as long
// as nothing is known.
func (p *Peers) catchUp(ctx context.Context) {
	if !p.seams.Watch.StoreLost() {
		return
	}
	address, ok := p.source(time.Now())
	if !ok {
		return
	}
	c, err := fetch(ctx, address, p.seams.Watch.Revision(), "")
	if err != nil {
		p.seams.Log.Warn("no copy from peer", "address", address, "error", err.Error())
		return
	}
	p.seams.Watch.ApplyCopy(c)
}

// source returns the link address of a peer that knows more of the store than this host.
func (p *Peers) source(now time.Time) (string, bool) {
	var addresses []string
	revision := int(p.seams.Watch.Revision())
	for _, peer := range p.List() {
		if peer.Fresh(now) && peer.State.Revision > revision {
			addresses = append(addresses, peer.Link)
		}
	}
	if len(addresses) == 0 && !p.seams.Watch.Loaded() {
		addresses = append(addresses, p.seams.Seeds...)
		for _, peer := range p.List() {
			addresses = append(addresses, peer.Link)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

func fetch(ctx context.Context, address string, after ident.Revision, more string) (wire.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s=%d%s", address, CopyPath, afterField, after, more), nil)
	if err != nil {
		return wire.Copy{}, merry.Wrap(err)
	}
	response, err := copies.Do(request)
	if err != nil {
		return wire.Copy{}, merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wire.Copy{}, merry.Errorf("status %d", response.StatusCode)
	}
	var c wire.Copy
	err = cbor.NewDecoder(io.LimitReader(response.Body, mostCopy)).Decode(&c)
	return c, merry.Wrap(err)
}
