// Package host puts the parts of one entry host's process together.
package host

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"jayshift/core/burn"
	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/once"
	"jayshift/core/poison"
	"jayshift/core/route"
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/admin"
	"jayshift/io/certs"
	"jayshift/io/entry"
	"jayshift/io/feed"
	"jayshift/io/link"
	"jayshift/io/loans"
	"jayshift/io/member"
	"jayshift/io/meter"
	"jayshift/io/moves"
	"jayshift/io/runs"
	"jayshift/io/setup"
	"jayshift/io/store"
	"jayshift/io/target"
)

const (
	steerGrace = 6 * time.Second // callers may use cached answers for so long after a host starts to stop
	leaveLimit = 5 * time.Second
)

// Host is one entry host's process.
type Host struct {
	settings *setup.Settings
	log      *slog.Logger
	app      *kratos.App
	cancel   context.CancelFunc
	servers  []*khttp.Server
	ctx      context.Context
	grace    time.Duration

	Store    *store.Store
	Mesh     *link.Mesh
	Book     *share.Book
	Member   *member.Member
	Feed     *feed.Feed
	Loans    *loans.Loans
	Pool     *target.Pool
	Entry    *entry.Entry
	Moves    *moves.Moves
	runs     *runs.Runs
	poison   *poison.List
	evidence *trial.Evidence
	gate     *trial.Gate
	meter    *meter.Meter
	burn     *burn.Tracker
	certs    *certs.Certs
}

// Addresses are where a started host listens.
type Addresses struct{ Caller, Operator, Link, Admin string }

// New builds a host from its settings; nothing runs yet, but the listen addresses are taken.
func New(s *setup.Settings, log *slog.Logger) (*Host, error) {
	h := &Host{settings: s, log: log, grace: steerGrace}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	listeners, err := listen(s)
	if err != nil {
		return nil, err
	}
	if h.Store, err = store.New(s.Store); err != nil {
		return nil, err
	}
	if h.meter, err = meter.New(); err != nil {
		return nil, err
	}
	if s.Certificate != "" {
		if h.certs, err = certs.New(s.Certificate, s.CertificateKey, s.Authority); err != nil {
			return nil, err
		}
	}
	h.build()
	if err := h.gauges(); err != nil {
		return nil, err
	}
	return h, h.serve(listeners)
}

// SetGrace replaces the time for which a stopping host still takes new requests, for tests.
func (h *Host) SetGrace(d time.Duration) { h.grace = d }

func listen(s *setup.Settings) (map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for name, address := range map[string]string{"caller": s.Caller, "operator": s.Operator, "link": s.Link, "admin": s.Admin} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, merry.Prependf(err, "listen %s", name)
		}
		listeners[name] = l
	}
	s.Caller = listeners["caller"].Addr().String()
	s.Operator = listeners["operator"].Addr().String()
	s.Link = listeners["link"].Addr().String()
	s.Admin = listeners["admin"].Addr().String()
	return listeners, nil
}

// Addresses returns where the host listens.
func (h *Host) Addresses() Addresses {
	s := h.settings
	return Addresses{Caller: s.Caller, Operator: s.Operator, Link: s.Link, Admin: s.Admin}
}

// build constructs the parts; each knows the others only through its seams.
func (h *Host) build() {
	s := h.settings
	self := ident.Host(s.Name)
	h.Book = share.NewBook(self, loans.LongestLoan)
	h.Pool = target.New()
	h.poison = poison.New()
	h.burn = burn.New()
	h.evidence = trial.NewEvidence()
	h.gate = trial.NewGate()
	h.Feed = feed.New(h.Store, h.log, feed.Seams{Table: h.onTable, Config: h.onConfig})
	h.Mesh = link.New(link.Seams{
		Hello: func() wire.Hello { return h.Member.Hello() }, Handle: h.handle, Opened: h.onLink,
		Closed: func(host ident.Host) { h.Member.Unlinked(host) },
		Client: h.linkClient, Scheme: h.linkScheme(), Secret: s.LinkSecret,
	})
	h.Member = h.newMember()
	h.Loans = loans.New(loans.Seams{
		Self: self, Book: h.Book, Call: h.Mesh.Call, Now: time.Now, Near: h.Member.Near, Far: h.Member.Far,
		LeaseDeadline: func(now time.Time) time.Time { return h.Member.Lease().Deadline(now) },
	})
	h.runs = runs.New(runs.Seams{
		Self: self, Ledger: once.New(seat.RunMemory), Table: h.Member.Table, Call: h.Mesh.Call,
		Incarnation: func() int { return h.Member.Hello().Incarnation },
	})
	h.Moves = moves.New(moves.Seams{
		Store: h.Store, Log: h.log, Snapshot: h.Feed.Snapshot, Verdict: h.Feed.Verdict,
		Gate: h.gate, Evidence: h.evidence, Broadcast: h.Mesh.Broadcast,
	})
	h.Entry = h.newEntry()
}

func (h *Host) linkScheme() string {
	if h.certs != nil {
		return "wss"
	}
	return "ws"
}

// linkClient returns the client that dials another host, with the TLS files as they are now.
func (h *Host) linkClient() *http.Client {
	if h.certs == nil {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: h.certs.Client()}}
}

func (h *Host) newMember() *member.Member {
	s := h.settings
	hello := wire.Hello{
		Host: s.Name, AvailabilityZone: s.Zone, Region: s.Region, LinkAddress: s.Link, CallerAddress: s.Caller,
	}
	seeds := map[ident.Host]string{}
	for name, address := range s.Peers {
		seeds[ident.Host(name)] = address
	}
	times := member.Times{
		Terms: seat.Terms{Isolation: s.Isolation, Drift: s.Drift}, Renewal: s.Renewal, Heartbeat: s.Heartbeat,
	}
	return member.New(hello, times, seeds, member.Seams{
		Store: h.Store, Mesh: h.Mesh, Book: h.Book, Log: h.log, Stale: h.Feed.Stale, Pull: h.pull,
		Revision: func() ident.Revision { return h.Feed.Snapshot().Revision },
		Load:     func() (int, float64, bool) { return h.Entry.Load() },
		Lead:     func(ctx context.Context, now time.Time) { h.Moves.Lead(ctx, now) },
	})
}

func (h *Host) newEntry() *entry.Entry {
	s := h.settings
	return entry.New(entry.Seams{
		Place: route.Place{Zone: ident.AvailabilityZone(s.Zone), Region: ident.Region(s.Region)},
		Host:  ident.Host(s.Name), Address: s.Caller, Capacity: s.Capacity, Longest: s.LongestRequest, Log: h.log,
		Snapshot: h.Feed.Snapshot, Table: h.Member.Table, Peers: h.Member.Peers,
		Serving: func(now time.Time) bool { return h.Feed.Loaded() && h.Member.Lease().Serving(now) },
		Loans:   h.Loans, Pool: h.Pool, Runs: h.runs, Poison: h.poison, Gate: h.gate, Evidence: h.evidence,
		Strike: h.strike, Count: h.count,
	})
}

// count takes in the end of one request for the metrics and the burn.
func (h *Host) count(s entry.Sample) {
	h.meter.Count(s)
	if s.Counts() {
		h.burn.Add(time.Now(), burn.Series{Service: string(s.Service), Team: string(s.Team), Shift: string(s.Shift)}, s.Bad())
	}
}

func (h *Host) onTable(t wire.SeatTable, revision ident.Revision) { h.Member.SetTable(t, revision) }

func (h *Host) onConfig(s *config.Snapshot) {
	h.Book.SetLimits(time.Now(), share.Limits(s, h.settings.LongestRequest))
	h.Pool.Update(s)
	go h.Member.Beat(h.ctx)
}

// serve builds the app with its four servers.
func (h *Host) serve(listeners map[string]net.Listener) error {
	operator := admin.New(admin.Seams{
		Host: ident.Host(h.settings.Name), Store: h.Store, Log: h.log, Token: h.settings.OperatorToken,
		Snapshot: h.Feed.Snapshot, Table: h.Member.Table, Peers: h.Member.Peers, Verdict: h.Feed.Verdict, Homes: h.homeFor,
	})
	health := http.NewServeMux()
	health.Handle("GET /metrics", h.meter)
	health.HandleFunc("GET /healthz", h.healthz)
	h.servers = []*khttp.Server{
		h.server(listeners["caller"], h.Entry), h.server(listeners["operator"], operator),
		h.server(listeners["link"], h.linkMux()), server(listeners["admin"], health),
	}
	h.app = kratos.New(
		kratos.Name("jayshift"), kratos.Logger(kratosLog{h.log}),
		kratos.Server(h.servers[0], h.servers[1], h.servers[2], h.servers[3]),
		kratos.BeforeStop(h.beforeStop), kratos.StopTimeout(h.settings.DrainLimit),
	)
	return nil
}

func (h *Host) linkMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/link", h.Mesh)
	return mux
}

// server wraps a handler in the HTTP transport, with TLS when the settings name its files.
func (h *Host) server(l net.Listener, handler http.Handler) *khttp.Server {
	if h.certs == nil {
		return server(l, handler)
	}
	return server(l, handler, khttp.TLSConfig(h.certs.Server()))
}

// server wraps a handler in the HTTP transport. The handler gets paths as they came, not through the router.
func server(l net.Listener, handler http.Handler, options ...khttp.ServerOption) *khttp.Server {
	s := khttp.NewServer(append(options, khttp.Listener(l), khttp.Timeout(0))...)
	s.Handler = handler
	return s
}

// Run serves until Stop is called or the process is told to stop.
func (h *Host) Run() error {
	go h.Feed.Run(h.ctx)
	go h.Member.Run(h.ctx)
	go h.Loans.Run(h.ctx)
	go h.Moves.Run(h.ctx)
	go h.reportLoop(h.ctx)
	h.log.Info("host started", "host", h.settings.Name, "caller", h.settings.Caller, "operator", h.settings.Operator)
	err := h.app.Run()
	h.close()
	return merry.Wrap(err)
}

// Stop leaves steering, lets requests end, hands back what was borrowed, and ends Run.
func (h *Host) Stop() error { return h.app.Stop() }

// Kill ends everything at once, as a crash would, for tests.
func (h *Host) Kill() {
	h.cancel()
	for _, s := range h.servers {
		_ = s.Close()
	}
	h.Mesh.Close()
}

func (h *Host) beforeStop(context.Context) error {
	h.log.Info("host stopping", "host", h.settings.Name)
	h.Entry.Drain()
	h.Member.Beat(h.ctx)
	ctx, cancel := context.WithTimeout(h.ctx, h.settings.DrainLimit)
	defer cancel()
	select {
	case <-time.After(h.grace):
	case <-ctx.Done():
	}
	if !h.Entry.Idle(ctx) {
		h.log.Warn("requests still running at the drain limit", "host", h.settings.Name)
	}
	h.Loans.GiveBackAll(ctx)
	handedOver := h.runs.HandOver(ctx)
	leave, cancelLeave := context.WithTimeout(h.ctx, leaveLimit)
	defer cancelLeave()
	if err := h.Member.Leave(leave, handedOver); err != nil {
		h.log.Warn("seat not given up", "error", err.Error())
	}
	return nil
}

func (h *Host) close() {
	h.cancel()
	h.Mesh.Close()
	h.Pool.Close()
	h.log.Info("host stopped", "host", h.settings.Name)
}

// healthz answers 200 when the host may serve limited work, else 503 with the reason.
func (h *Host) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _, draining := h.Entry.Load()
	state := struct {
		Serving  bool `json:"serving"`
		Loaded   bool `json:"loaded"`
		Draining bool `json:"draining"`
		Revision int  `json:"revision"`
	}{h.Member.Lease().Serving(time.Now()), h.Feed.Loaded(), draining, int(h.Feed.Snapshot().Revision)}
	w.Header().Set("Content-Type", "application/json")
	if !state.Serving || !state.Loaded {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}

// homeFor returns the partition whose holder hands out a new backend server's slots: one that a host of the
// server's region holds, and among these the one with the fewest servers.
func (h *Host) homeFor(region ident.Region, s *config.Snapshot) int {
	load := map[int]int{}
	for _, service := range s.Services() {
		for _, b := range s.Servers(service.Name) {
			if r, ok := s.Get(config.ResourceID{Kind: config.KindBackendServer, Name: string(b.Name)}); ok {
				load[r.BackendServer.Home]++
			}
		}
	}
	return seat.LeastLoaded(h.Member.Table(), string(region), load)
}

func (h *Host) gauges() error {
	gauges := []struct {
		name, help string
		read       func() float64
	}{
		{"jayshift.config.revision", "Configuration revision in force.", func() float64 { return float64(h.Feed.Snapshot().Revision) }},
		{"jayshift.seats", "Seats in the table.", func() float64 { return float64(len(h.Member.Table().Seats)) }},
		{"jayshift.serving.left", "Time for which the host may still serve without new contact, in seconds.", h.servingLeft},
		{"jayshift.store.calls", "Calls made to the platform's store.", func() float64 { return float64(h.Store.Calls()) }},
		{"jayshift.link.bytes", "Bytes sent to other hosts.", func() float64 { n, _ := h.Mesh.Sent(); return float64(n) }},
		{"jayshift.loans.asked", "Loans asked for.", func() float64 { return float64(h.Loans.Asks()) }},
		{"jayshift.requests.running", "Requests running.", func() float64 { n, _, _ := h.Entry.Load(); return float64(n) }},
	}
	for _, g := range gauges {
		if err := h.meter.Gauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	return h.meter.Burn(h.burn)
}

func (h *Host) servingLeft() float64 {
	now := time.Now()
	return max(0, h.Member.Lease().Deadline(now).Sub(now).Seconds())
}
