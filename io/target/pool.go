// Package target keeps the connections to backend servers and what is known of them.
package target

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/route"
)

const (
	dialTimeout    = 1 * time.Second
	idleTimeout    = 2 * time.Second // an idle connection may have gone silent; a new one is cheap
	keepAliveIdle  = 1 * time.Second
	keepAliveProbe = 1 * time.Second
	keepAliveCount = 3
	reportTimeout  = 500 * time.Millisecond
	reportPath     = "/health"
	spareConns     = 1 // connections beyond the slots, for load reports
)

var (
	// ErrNotSent means that no byte of the request left for the backend server.
	ErrNotSent = merry.Sentinel("target: request not sent")
	// ErrNoAnswer means that a connection used before broke before an answer came; the backend server may have run the request.
	ErrNoAnswer = merry.Sentinel("target: no answer")
	// ErrSilent means that the request left and its time ran out, or its caller went, before an answer came;
	// the backend server may still run it.
	ErrSilent = merry.Sentinel("target: silent")
	// ErrBroken means that a connection opened for the request broke before an answer came;
	// the backend server may have run the request, and may have died of it.
	ErrBroken = merry.Sentinel("target: connection broken")
)

// Target is one backend server with its connections.
type Target struct {
	State     *route.Server
	transport *http.Transport
}

// Pool holds the backend servers of the present configuration.
type Pool struct {
	mu      sync.Mutex // guards updates; readers take the map as it is
	targets atomic.Pointer[map[ident.BackendServer]*Target]
	lists   atomic.Pointer[map[ident.Service][]*route.Server]
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{}
	p.targets.Store(&map[ident.BackendServer]*Target{})
	p.lists.Store(&map[ident.Service][]*route.Server{})
	return p
}

// Update takes in a configuration. Servers that stay keep their state and connections.
func (p *Pool) Update(s *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before, next := *p.targets.Load(), map[ident.BackendServer]*Target{}
	lists := map[ident.Service][]*route.Server{}
	for _, service := range s.Services() {
		for _, b := range s.Servers(service.Name) {
			t := before[b.Name]
			if t == nil || t.State.Server != b {
				t = newTarget(b)
			}
			next[b.Name] = t
			lists[service.Name] = append(lists[service.Name], t.State)
		}
	}
	for name, t := range before {
		if next[name] != t {
			t.transport.CloseIdleConnections()
		}
	}
	p.targets.Store(&next)
	p.lists.Store(&lists)
}

func newTarget(b config.Server) *Target {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveProbe, Count: keepAliveCount},
	}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: b.Slots + spareConns, MaxIdleConnsPerHost: b.Slots + spareConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	return &Target{State: route.NewServer(b), transport: transport}
}

// Servers returns the backend servers of a service.
func (p *Pool) Servers(service ident.Service) []*route.Server { return (*p.lists.Load())[service] }

func (p *Pool) target(name ident.BackendServer) *Target {
	return (*p.targets.Load())[name]
}

// Do sends a request to a backend server and returns the start of its answer.
// The error is ErrNotSent when certainly no byte left, else ErrSilent, ErrNoAnswer or ErrBroken.
func (p *Pool) Do(name ident.BackendServer, r *http.Request) (*http.Response, error) {
	t := p.target(name)
	if t == nil {
		return nil, ErrNotSent
	}
	var sent, reused atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		sent.Store(true)
		reused.Store(c.Reused)
	}}
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
	response, err := t.transport.RoundTrip(r)
	switch {
	case err == nil:
		return response, nil
	case !sent.Load():
		return nil, merry.Prepend(ErrNotSent, err.Error())
	case r.Context().Err() != nil:
		return nil, merry.Prepend(ErrSilent, err.Error())
	case reused.Load():
		return nil, merry.Prepend(ErrNoAnswer, err.Error())
	}
	return nil, merry.Prepend(ErrBroken, err.Error())
}

// Refresh closes the idle connections of a backend server, since one of them went silent.
func (p *Pool) Refresh(name ident.BackendServer) {
	if t := p.target(name); t != nil {
		t.transport.CloseIdleConnections()
	}
}

// Alive tells whether the backend server accepts a connection now.
func (p *Pool) Alive(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// health is what a backend server answers when asked for its load.
type health struct {
	Status   string `json:"status"`
	InFlight int    `json:"in-flight"`
	Slots    int    `json:"slots"`
}

// Ask reads the load report of a backend server.
func (p *Pool) Ask(ctx context.Context, name ident.BackendServer) (route.LoadReport, error) {
	t := p.target(name)
	if t == nil {
		return route.LoadReport{}, ErrNotSent
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.State.Address+reportPath, nil)
	if err != nil {
		return route.LoadReport{}, merry.Wrap(err)
	}
	response, err := t.transport.RoundTrip(r)
	if err != nil {
		return route.LoadReport{}, merry.Wrap(err)
	}
	defer response.Body.Close()
	var h health
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, 4096)).Decode(&h); err != nil {
		return route.LoadReport{}, merry.Wrap(err)
	}
	return route.LoadReport{InFlight: h.InFlight, Slots: h.Slots, Leaving: h.Status == "leaving", ReceivedAt: time.Now()}, nil
}

// SetReport takes in a load report that this host or a peer read.
func (p *Pool) SetReport(name ident.BackendServer, r route.LoadReport) {
	if t := p.target(name); t != nil {
		t.State.SetLoadReport(r)
	}
}

// Close ends all idle connections.
func (p *Pool) Close() {
	for _, t := range *p.targets.Load() {
		t.transport.CloseIdleConnections()
	}
}
