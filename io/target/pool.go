// Package target manages the connections to backend servers and their load state.
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
	"jayshift/io/socket"
)

const (
	dialTimeout       = 1 * time.Second
	idleTimeout       = 2 * time.Second // short, since an idle connection may have been lost without notice and a new one is cheap
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 1 * time.Second
	keepAliveCount    = 3
	reportTimeout     = 500 * time.Millisecond
	reportPath        = "/health"
	maxHeaderBytes    = 64 << 10 // of a response
	maxStatus         = 599      // the highest status of HTTP
	// AttemptHeader carries the id of an attempt, which backend servers echo in their answers.
	AttemptHeader = "Jayshift-Attempt"
	extraConns    = 1 // connections in addition to the server's slots, for load reports
)

var (
	// ErrNotSent means that no byte of the request was sent to the backend server.
	ErrNotSent = merry.Sentinel("target: request not sent")
	// ErrCallerLeft means that the caller had left before a byte of the request was sent.
	ErrCallerLeft = merry.Sentinel("target: caller left, request not sent")
	// ErrOutdated means that the request was not to be sent any more before a byte of it was sent.
	ErrOutdated = merry.Sentinel("target: request outdated, not sent")
	// ErrReusedConnBroken means that a reused connection broke before a response was received; the backend server may
	// have run the request.
	ErrReusedConnBroken = merry.Sentinel("target: reused connection broken")
	// ErrTimeout means that the request's context expired or was canceled after sending and before a response was
	// received; the backend server may still be running the request.
	ErrTimeout = merry.Sentinel("target: no response before the deadline")
	// ErrNewConnBroken means that a connection opened for the request broke before a response was received; the backend
	// server may have run the request, and the request may have crashed it.
	ErrNewConnBroken = merry.Sentinel("target: new connection broken")
)

// Target is a backend server with its load state and its connections.
type Target struct {
	State     *route.Server
	transport *http.Transport
}

// Pool holds the backend servers of the current configuration.
type Pool struct {
	mu        sync.Mutex // serializes updates; readers load the maps without it
	targets   atomic.Pointer[map[ident.BackendServer]*Target]
	byService atomic.Pointer[map[ident.Service][]*route.Server]
}

// New returns an empty pool.
func New() *Pool {
	p := &Pool{}
	p.targets.Store(&map[ident.BackendServer]*Target{})
	p.byService.Store(&map[ident.Service][]*route.Server{})
	return p
}

// Update applies a configuration. Unchanged servers keep their state and connections.
func (p *Pool) Update(s *config.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, next := *p.targets.Load(), map[ident.BackendServer]*Target{}
	byService := map[ident.Service][]*route.Server{}
	for _, service := range s.Services() {
		for _, b := range s.Servers(service.Name) {
			t := current[b.Name]
			if t == nil || t.State.Server != b {
				t = newTarget(b)
			}
			next[b.Name] = t
			byService[service.Name] = append(byService[service.Name], t.State)
		}
	}
	for name, t := range current {
		if next[name] != t {
			t.transport.CloseIdleConnections()
		}
	}
	p.targets.Store(&next)
	p.byService.Store(&byService)
}

func newTarget(b config.Server) *Target {
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	transport := &http.Transport{
		DialContext: dialGuarded(dialer), MaxConnsPerHost: b.Slots + extraConns, MaxIdleConnsPerHost: b.Slots + extraConns,
		IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	return &Target{State: route.NewServer(b), transport: transport}
}

// Servers returns the backend servers of a service.
func (p *Pool) Servers(service ident.Service) []*route.Server { return (*p.byService.Load())[service] }

// Has reports whether the configuration has the backend server.
func (p *Pool) Has(name ident.BackendServer) bool { return p.target(name) != nil }

func (p *Pool) target(name ident.BackendServer) *Target {
	return (*p.targets.Load())[name]
}

// Do sends a request to a backend server and returns the response, whose body is not read yet. The error is ErrNotSent
// if certainly no byte was sent, ErrCallerLeft if that is because the caller of the request's context had left, ErrOutdated
// if it is because outdated returned true, else ErrTimeout, ErrReusedConnBroken or ErrNewConnBroken. outdated is called once
// a connection is open, right before the request is sent.
func (p *Pool) Do(name ident.BackendServer, r *http.Request, outdated func() bool) (*http.Response, error) {
	t := p.target(name)
	if t == nil {
		return nil, ErrNotSent
	}
	var connected, reused, callerLeft, tooLate atomic.Bool
	var used atomic.Pointer[guardedConn]
	ctx, cancel := context.WithCancel(r.Context())
	trace := &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		callerLeft.Store(socket.CallerLeft(ctx))
		tooLate.Store(outdated())
		if callerLeft.Load() || tooLate.Load() {
			c.Conn.(*guardedConn).refuse()
			cancel() // or the transport would try another connection
			return
		}
		used.Store(c.Conn.(*guardedConn))
		connected.Store(true)
		reused.Store(c.Reused)
	}}
	response, err := t.transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && (response.StatusCode < http.StatusOK || response.StatusCode > maxStatus) {
		_ = response.Body.Close()
		err = merry.Errorf("invalid status %d", response.StatusCode)
	}
	if err == nil {
		body := &cancelingBody{ReadCloser: response.Body, cancel: cancel}
		if response.Header.Get(AttemptHeader) != r.Header.Get(AttemptHeader) {
			// The server could write this answer again without a sign of which request it belongs to.
			used.Load().refuse()
			body.conn = used.Load()
		}
		response.Body = body
		return response, nil
	}
	defer cancel()
	switch {
	case callerLeft.Load():
		return nil, ErrCallerLeft
	case tooLate.Load():
		return nil, ErrOutdated
	case !connected.Load() || used.Load().refusedUnsent():
		return nil, merry.Prepend(ErrNotSent, err.Error())
	case r.Context().Err() != nil:
		return nil, merry.Prepend(ErrTimeout, err.Error())
	case reused.Load():
		return nil, merry.Prepend(ErrReusedConnBroken, err.Error())
	}
	return nil, merry.Prepend(ErrNewConnBroken, err.Error())
}

// CloseIdle closes the idle connections to a backend server, for use after one of its connections has failed.
func (p *Pool) CloseIdle(name ident.BackendServer) {
	if t := p.target(name); t != nil {
		t.transport.CloseIdleConnections()
	}
}

// CanConnect reports whether a new connection to the address can be opened.
func (p *Pool) CanConnect(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// healthResponse is the load report in a backend server's response to reportPath.
type healthResponse struct {
	Status   string `json:"status"`
	InFlight int    `json:"in-flight"`
	Slots    int    `json:"slots"`
}

// FetchReport requests the load report of a backend server.
func (p *Pool) FetchReport(ctx context.Context, name ident.BackendServer) (route.LoadReport, error) {
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
	r.Close = true // the report, written again, must not be taken for the answer to a request
	response, err := t.transport.RoundTrip(r)
	if err != nil {
		return route.LoadReport{}, merry.Wrap(err)
	}
	defer response.Body.Close()
	var h healthResponse
	if err := json.NewDecoder(http.MaxBytesReader(nil, response.Body, 4096)).Decode(&h); err != nil {
		return route.LoadReport{}, merry.Wrap(err)
	}
	return route.LoadReport{InFlight: h.InFlight, Slots: h.Slots, Leaving: h.Status == "leaving", ReceivedAt: time.Now()}, nil
}

// SetReport stores a load report of a backend server that this host or a peer fetched.
func (p *Pool) SetReport(name ident.BackendServer, r route.LoadReport) {
	if t := p.target(name); t != nil {
		t.State.SetLoadReport(r)
	}
}

// Close closes all idle connections.
func (p *Pool) Close() {
	for _, t := range *p.targets.Load() {
		t.transport.CloseIdleConnections()
	}
}
