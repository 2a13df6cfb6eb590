// Package host puts the parts of one entry host's process together.
package host

import (
	"context"
	"log/slog"
	"time"

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
	Book     *share.Registry
	Member   *member.Member
	Feed     *feed.Feed
	Loans    *loans.Limiter
	Pool     *target.Pool
	Entry    *entry.Entry
	Moves    *moves.Moves
	runs     *runs.Recorder
	poison   *poison.Detector
	evidence *trial.Evidence
	gate     *trial.Gate
	meter    *meter.Meter
	burn     *burn.Tracker
	certs    *certs.Reloader
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

// Addresses returns where the host listens.
func (h *Host) Addresses() Addresses {
	s := h.settings
	return Addresses{Caller: s.Caller, Operator: s.Operator, Link: s.Link, Admin: s.Admin}
}

// build constructs the parts; each knows the others only through its seams.
func (h *Host) build() {
	s := h.settings
	self := ident.Host(s.Name)
	h.Book = share.NewRegistry(self, loans.MaxTerm)
	h.Pool = target.New()
	h.poison = poison.New()
	h.burn = burn.New()
	h.evidence = trial.NewEvidence()
	h.gate = trial.NewGate()
	h.Feed = feed.New(h.Store, h.log, feed.Callbacks{OnTable: h.onTable, OnConfig: h.onConfig})
	h.Mesh = link.New(link.Seams{
		Hello: func() wire.Hello { return h.Member.Hello() }, Handle: h.handle, Opened: h.onLink,
		Closed: func(host ident.Host) { h.Member.RecordLinkClosed(host) },
		Client: h.linkClient, Scheme: h.linkScheme(), Secret: s.LinkSecret,
	})
	h.Member = h.newMember()
	h.Loans = loans.New(loans.Deps{
		Self: self, Registry: h.Book, Call: h.Mesh.Call, Now: time.Now, RegionHosts: h.Member.RegionHosts, OtherRegions: h.Member.OtherRegionHosts,
		LeaseDeadline: func(now time.Time) time.Time { return h.Member.Lease().Deadline(now) },
	})
	h.runs = runs.New(runs.Deps{
		Self: self, Ledger: once.New(seat.RunRetention), Table: h.Member.Table, Call: h.Mesh.Call,
		Incarnation: func() int { return h.Member.Hello().Incarnation },
	})
	h.Moves = moves.New(moves.Deps{
		Store: h.Store, Log: h.log, Snapshot: h.Feed.Snapshot, Verdict: h.Feed.Verdict,
		Gate: h.gate, Evidence: h.evidence, Broadcast: h.Mesh.Broadcast,
	})
	h.Entry = h.newEntry()
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
	times := member.Timing{
		Lease: seat.Timing{IsolationLimit: s.Isolation, ClockDrift: s.Drift}, RenewalInterval: s.Renewal, HeartbeatInterval: s.Heartbeat,
	}
	return member.New(hello, times, seeds, member.Deps{
		Store: h.Store, Mesh: h.Mesh, Book: h.Book, Log: h.log, ReloadConfig: h.Feed.RequestReload, PullConfig: h.pull,
		ConfigRevision: func() ident.Revision { return h.Feed.Snapshot().Revision },
		Load:           func() (int, float64, bool) { return h.Entry.Load() },
		RunController:  func(ctx context.Context, now time.Time) { h.Moves.Lead(ctx, now) },
	})
}

func (h *Host) newEntry() *entry.Entry {
	s := h.settings
	return entry.New(entry.Deps{
		Location: route.Location{Zone: ident.AvailabilityZone(s.Zone), Region: ident.Region(s.Region)},
		Host:     ident.Host(s.Name), Capacity: s.Capacity, MaxRequestTime: s.LongestRequest, Log: h.log,
		Snapshot: h.Feed.Snapshot, Table: h.Member.Table, Peers: h.Member.Peers,
		Serving: func(now time.Time) bool { return h.Feed.Loaded() && h.Member.Lease().Serving(now) },
		Loans:   h.Loans, Pool: h.Pool, Runs: h.runs, Poison: h.poison, Gate: h.gate, Evidence: h.evidence,
		SendStrike: h.strike, Observe: h.count,
	})
}

func (h *Host) onTable(t wire.SeatTable, revision ident.Revision) { h.Member.SetTable(t, revision) }

func (h *Host) onConfig(s *config.Snapshot) {
	h.Book.SetLimits(time.Now(), share.Limits(s, h.settings.LongestRequest))
	h.Pool.Update(s)
	go h.Member.SendHeartbeats(h.ctx)
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
	return seat.LeastLoadedPartition(h.Member.Table(), string(region), load)
}
