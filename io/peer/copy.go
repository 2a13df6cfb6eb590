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
	"jayshift/io/stall"
)

const (
	// CopyPath is the URL path at which a host serves copies of the store to peers.
	CopyPath     = "/v1/copy"
	copyInterval = 700 * time.Millisecond  // between requests for a copy while the store is lost
	copyTimeout  = 1100 * time.Millisecond // until a copy begins, and without any progress after that
	maxCopyTime  = 8 * time.Second         // of a copy that makes progress
	maxCopySize  = 64 << 20                // bytes
	// maxServedAge is the age of a copy up to which it is served to peers that read the store through this host. It leaves room
	// for a slow store: the age is stated in the copy.
	maxServedAge = 2500 * time.Millisecond
)

var copyClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: 3 * time.Second}}

// ServeCopy sends a peer the keys of the store that have changed after the revision in afterParam, or all keys. With
// readParam, for a peer that reads the store through this host, it fails with status 503 if this host has lost the store or
// its copy is older than maxServedAge. Without readParam, for a peer that has lost the store, it sends the copy that this
// host has, and fails with the same status only if that copy is not complete.
func (p *Peers) ServeCopy(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get(afterParam), 10, 64)
	if err != nil {
		after = 0
	}
	c, ok := p.deps.Watch.Copy(r.Context(), ident.Revision(after))
	if !ok || r.URL.Query().Has(readParam) && !p.deps.Watch.Fresh(maxServedAge) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	if err := cbor.NewEncoder(w).Encode(c); err != nil {
		p.deps.Log.Warn("copy not sent", "error", err.Error())
	}
}

// Query parameters of a request for a copy.
const (
	afterParam = "after" // store revision up to which the peer's copy is complete
	readParam  = "read"  // set if the serving host's copy must not be older than maxServedAge
)

// Fetch gets the changes after the revision from the host that reads the store for this host.
func Fetch(ctx context.Context, address string, after ident.Revision) (wire.Copy, error) {
	return fetch(ctx, address, after, "&"+readParam+"=1")
}

// fetchMissing copies the store from a peer while this host cannot read the store. It asks a peer whose copy is fresh even if
// nothing has changed: only that shows that this host's copy is still current.
func (p *Peers) fetchMissing(ctx context.Context) {
	if !p.deps.StoreLost() {
		return
	}
	address, ok := p.copySource(time.Now())
	if !ok {
		return
	}
	requestedAt := time.Now()
	c, err := fetch(ctx, address, p.deps.Watch.Revision(), "")
	if err != nil {
		p.deps.Log.Warn("no copy from peer", "address", address, "error", err.Error())
		return
	}
	p.deps.Watch.ApplyCopy(c, requestedAt)
}

// copySource returns the link address of a random peer whose copy is fresh, of this host's region if there is one. If there
// is none, it selects a peer with a later store revision than this host, and if this host has not loaded the store yet, among
// the seeds and all known peers.
func (p *Peers) copySource(now time.Time) (string, bool) {
	var addresses, near, later []string
	revision := int(p.deps.Watch.Revision())
	for _, peer := range p.List() {
		if !peer.Fresh(now) {
			continue
		}
		if peer.hasFreshCopy() {
			addresses = append(addresses, peer.LinkAddress)
			if peer.Region == ident.Region(p.deps.Self.Region) {
				near = append(near, peer.LinkAddress)
			}
		}
		if peer.Heartbeat.Revision > revision {
			later = append(later, peer.LinkAddress)
		}
	}
	if len(near) > 0 {
		addresses = near
	}
	if len(addresses) == 0 {
		addresses = later
	}
	if len(addresses) == 0 && !p.deps.Watch.Loaded() {
		addresses = append(addresses, p.deps.Seeds...)
		for _, peer := range p.List() {
			addresses = append(addresses, peer.LinkAddress)
		}
	}
	if len(addresses) == 0 {
		return "", false
	}
	return addresses[rand.IntN(len(addresses))], true
}

func fetch(ctx context.Context, address string, after ident.Revision, extraQuery string) (wire.Copy, error) {
	ctx, cancel := context.WithTimeout(ctx, maxCopyTime)
	defer cancel()
	guard := stall.New(cancel, copyTimeout, copyTimeout)
	defer guard.Stop()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s?%s=%d%s", address, CopyPath, afterParam, after, extraQuery), nil)
	if err != nil {
		return wire.Copy{}, merry.Wrap(err)
	}
	response, err := copyClient.Do(request)
	if err != nil {
		return wire.Copy{}, merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return wire.Copy{}, merry.Errorf("peer returned status %d", response.StatusCode)
	}
	var c wire.Copy
	err = cbor.NewDecoder(io.LimitReader(guard.Reader(response.Body), maxCopySize)).Decode(&c)
	return c, merry.Wrap(err)
}
