package peer

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"jayshift/core/wire"
)

const (
	// CopyPath is where a host gives peers what it knows of the store.
	CopyPath    = "/v1/copy"
	copyPause   = 700 * time.Millisecond
	copyTimeout = 1 * time.Second
	mostCopy    = 64 << 20 // bytes
)

var copies = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}

// ServeCopy gives a peer what this host knows of the store.
func (p *Peers) ServeCopy(w http.ResponseWriter, _ *http.Request) {
	if !p.seams.Watch.Loaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if err := cbor.NewEncoder(w).Encode(p.seams.Watch.Copy()); err != nil {
		p.seams.Log.Warn("copy not sent", "error", err.Error())
	}
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
	c, err := fetch(ctx, address)
	if err != nil {
		p.seams.Log.Warn("no copy from peer", "address", address, "error", err.Error())
		return
	}
	p.seams.Watch.TakeCopy(c)
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

func fetch(ctx context.Context, address string) (wire.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+CopyPath, nil)
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
