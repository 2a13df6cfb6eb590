// Package host constructs and runs the components of an entry host.
package host

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"jayshift/core/budget"
	"jayshift/core/burn"
	"jayshift/core/canary"
	"jayshift/core/config"
	"jayshift/core/dedup"
	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/poison"
	"jayshift/core/rest"
	"jayshift/core/route"
	"jayshift/core/seat"
	"jayshift/core/share"
	"jayshift/core/wire"
	"jayshift/io/certs"
	"jayshift/io/entry"
	"jayshift/io/feed"
	"jayshift/io/link"
	"jayshift/io/loans"
	"jayshift/io/member"
	"jayshift/io/meter"
	"jayshift/io/moves"
	"jayshift/io/runs"
	"jayshift/io/serve"
	"jayshift/io/setup"
	"jayshift/io/store"
	"jayshift/io/target"
)

const (
	steerGracePeriod = 6 * time.Second // callers may use cached steer responses for this long after a stop begins
	leaveTimeout     = 5 * time.Second
)

// Host is an entry host: the HTTP servers for callers, operators, peers and metrics, and the components behind them.
type Host struct {
	settings    *setup.Settings
	log         *slog.Logger
	app         *kratos.App
	cancel      context.CancelFunc
	httpServers []*khttp.Server
	ctx         context.Context
	gracePeriod time.Duration

	Store    *store.Store
	Mesh     *link.Mesh
	Shares   *share.Registry
	Member   *member.Member
	Feed     *feed.Feed
	Loans    *loans.Limiter
	Pool     *target.Pool
	Entry    *entry.Entry
	Moves    *moves.Moves
	rests    *rest.Book
	limits   *limit.Limiter
	runs     *runs.Recorder
	poison   *poison.Detector
	evidence *canary.Evidence
	gate     *canary.Gate
	meter    *meter.Meter
	burn     *burn.Tracker
	certs    *certs.Reloader
	memory   *budget.Budget // for what clients send
}

// Addresses holds the addresses that a host listens on.
type Addresses struct{ Caller, Operator, Link, Admin string }

// New returns a host with the given settings. It listens on the addresses in the settings, but serves nothing until Run
// is called. In the settings it replaces each listen address by the actual one, which matters for port zero.
func New(s *setup.Settings, log *slog.Logger) (*Host, error) {
	h := &Host{settings: s, log: log, gracePeriod: steerGracePeriod}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	listeners, err := listen(s)
	if err != nil {
		return nil, err
	}
	if h.Store, err = store.New(s.StoreAddress); err != nil {
		return nil, err
	}
	if h.meter, err = meter.New(); err != nil {
		return nil, err
	}
	if s.CertificateFile != "" {
		if h.certs, err = certs.New(s.CertificateFile, s.KeyFile, s.AuthorityFile); err != nil {
			return nil, err
		}
	}
	h.buildComponents()
	if err := h.registerGauges(); err != nil {
		return nil, err
	}
	return h, h.buildServers(listeners)
}

// Addresses returns the addresses that the host listens on.
func (h *Host) Addresses() Addresses {
	s := h.settings
	return Addresses{Caller: s.CallerAddress, Operator: s.OperatorAddress, Link: s.LinkAddress, Admin: s.AdminAddress}
}

// buildComponents constructs the components. Each one uses the others only through the dependencies passed to it.
func (h *Host) buildComponents() {
	s := h.settings
	self := ident.Host(s.Name)
	h.memory = budget.New(serve.ClientMemory(s.MemoryMB))
	h.Shares = share.NewRegistry(self, loans.MaxTerm)
	h.Pool = target.New()
	h.poison = poison.New()
	h.burn = burn.New()
	h.evidence = canary.NewEvidence()
	h.gate = canary.NewGate()
	h.Feed = feed.New(h.Store, h.log, feed.Callbacks{OnTable: h.onTable, OnConfig: h.onConfig})
	h.Mesh = link.New(link.Deps{
		Hello: func() wire.Hello { return h.Member.Hello() }, Handle: h.handle, OnOpen: h.handleLinkOpened,
		OnClose:    func(host ident.Host) { h.Member.RecordLinkClosed(host) },
		HTTPClient: h.linkClient, Scheme: h.linkScheme(), Secret: s.LinkSecret, Log: h.log,
	})
	h.limits = limit.New(self, time.Now(), rand.Float64)
	h.limits.OnChange = h.logLimit
	h.rests = rest.New()
	h.rests.OnRest = h.logRest
	h.Member = h.newMember()
	h.Loans = loans.New(loans.Deps{
		Self: self, Registry: h.Shares, Call: h.Mesh.Call, Now: time.Now, RegionHosts: h.Member.RegionHosts, OtherRegions: h.Member.OtherRegionHosts,
		LeaseDeadline: func(now time.Time) time.Time { return h.Member.Lease().Deadline(now) },
	})
	h.runs = runs.New(runs.Deps{
		Self: self, Ledger: dedup.New(seat.RunRetention), Table: h.Member.Table, Call: h.Mesh.Call,
		Incarnation: func() int { return h.Member.Hello().Incarnation },
	})
	h.Moves = moves.New(moves.Deps{
		Store: h.Store, Log: h.log, Snapshot: h.Feed.Snapshot, Verdict: h.Feed.Verdict,
		Gate: h.gate, Evidence: h.evidence, Broadcast: h.Mesh.Broadcast, Self: h.trialHost, Hosts: h.trialHosts,
	})
	h.Entry = h.newEntry()
}

func (h *Host) newMember() *member.Member {
	s := h.settings
	hello := wire.Hello{
		Host: s.Name, AvailabilityZone: s.Zone, Region: s.Region, LinkAddress: s.LinkAddress, CallerAddress: s.CallerAddress,
	}
	seeds := map[ident.Host]string{}
	for name, address := range s.Peers {
		seeds[ident.Host(name)] = address
	}
	timing := member.Timing{
		Lease: seat.Timing{IsolationLimit: s.IsolationLimit, ClockDrift: s.ClockDrift}, RenewalInterval: s.RenewalInterval, HeartbeatInterval: s.HeartbeatInterval,
	}
	return member.New(hello, timing, seeds, member.Deps{
		Store: h.Store, Mesh: h.Mesh, Registry: h.Shares, Log: h.log, ReloadConfig: h.Feed.RequestReload, PullConfig: h.pullConfig,
		ConfigRevision: func() ident.Revision { return h.Feed.Snapshot().Revision },
		Load:           func() (int, float64, bool) { return h.Entry.Load() },
		LimitReports:   h.limitReports,
		OnLimitReports: func(peer ident.Host, reports []limit.Report) { h.limits.RecordReports(time.Now(), peer, reports) },
		RunController:  func(ctx context.Context, now time.Time) { h.Moves.UpdateVerdicts(ctx, now) },
	})
}

func (h *Host) newEntry() *entry.Entry {
	s := h.settings
	return entry.New(entry.Deps{
		Location: route.Location{Zone: ident.AvailabilityZone(s.Zone), Region: ident.Region(s.Region)},
		Host:     ident.Host(s.Name), Capacity: s.Capacity, MaxRequestTime: s.MaxRequestTime, Log: h.log,
		Snapshot: h.Feed.Snapshot, Table: h.Member.Table, Peers: h.Member.Peers,
		Serving: func(now time.Time) bool { return h.Feed.Loaded() && h.Member.Lease().Serving(now) },
		Loans:   h.Loans, Limits: h.limits, Rests: h.rests, Pool: h.Pool, Runs: h.runs, Poison: h.poison, Gate: h.gate, Evidence: h.evidence,
		SendStrike: h.reportStrike, Observe: h.recordSample,
	})
}

// onTable passes a newly read seat table to the member.
func (h *Host) onTable(t wire.SeatTable, revision ident.Revision) { h.Member.SetTable(t, revision) }

// onConfig applies a new configuration to the shares and the pool. It sends heartbeats at once to report the new
// revision to the peers.
func (h *Host) onConfig(s *config.Snapshot) {
	h.Shares.SetLimits(time.Now(), share.Limits(s, h.settings.MaxRequestTime))
	h.Pool.Update(s)
	go h.Member.SendHeartbeats(h.ctx)
}

// selectHomePartition returns the partition whose owner allocates the slots of a new backend server. It is the one with
// the fewest backend servers of those owned by hosts in the server's region.
func (h *Host) selectHomePartition(region ident.Region, s *config.Snapshot) int {
	counts := map[int]int{}
	for _, service := range s.Services() {
		for _, b := range s.Servers(service.Name) {
			if r, ok := s.Get(config.ResourceID{Kind: config.KindBackendServer, Name: string(b.Name)}); ok {
				counts[r.BackendServer.Home]++
			}
		}
	}
	return seat.LeastLoadedPartition(h.Member.Table(), string(region), counts)
}
