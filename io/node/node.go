// Package node puts the parts of one edge host's process together.
package node

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/poison"
	"jayshift/core/quota"
	"jayshift/core/trial"
	"jayshift/core/wire"
	"jayshift/io/conns"
	"jayshift/io/edge"
	"jayshift/io/httpd"
	"jayshift/io/link"
	"jayshift/io/meter"
	"jayshift/io/peer"
	"jayshift/io/pulse"
	"jayshift/io/rates"
	"jayshift/io/roll"
	"jayshift/io/setup"
	"jayshift/io/store"
	"jayshift/io/watch"
)

const (
	quotaIsolation = 1500 * time.Millisecond
	quotaTakeover  = 3 * time.Second
	poisonStrikes  = 3 // backend servers lost to a request; a lost answer looks the same as a lost server
	sweepPause     = 1 * time.Second
)

// Platform is what translates between the platform and jayshift.
type Platform struct {
	Store   *store.Store
	Dialect edge.Dialect
	Decode  func(watch.Item) (watch.Change, error)
	Encode  func(watch.MoveStatus) (key string, value []byte, err error)
	// Directory serves callers that ask where to connect, Ready the platform's question whether the host takes callers.
	Directory func(func(ident.AvailabilityZone, ident.Region) ([]string, time.Duration)) http.Handler
	Ready     func(func() bool) http.Handler

	RetryShare float64
	RetrySlack float64
	QuotaSlack float64
	Grace      time.Duration
	AnswerLife time.Duration
}

// Node is one edge host's process.
type Node struct {
	settings *setup.EdgeSettings
	platform Platform
	log      *slog.Logger
	app      *kratos.App
	callers  *httpd.Server
	ctx      context.Context
	cancel   context.CancelFunc
	leaving  atomic.Bool
	start    time.Time

	watch    *watch.Watch
	peers    *peer.Peers
	mesh     *link.Mesh
	board    *place.Balancer
	quota    *quota.Limiter
	rates    *rates.Rates
	poison   *poison.Detector
	evidence *trial.Evidence
	gate     *trial.Gate
	rolls    *roll.Rollouts
	pool     *conns.Pool
	edge     *edge.Edge
	meter    *meter.Edge
}

// New builds a node from its settings; nothing runs yet, but the listen addresses are taken.
func New(s *setup.EdgeSettings, p Platform, log *slog.Logger) (*Node, error) {
	n := &Node{settings: s, platform: p, log: log, start: time.Now()}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	listeners, err := n.listen()
	if err != nil {
		return nil, err
	}
	if n.meter, err = n.newMeter(); err != nil {
		return nil, err
	}
	n.platform.Store = store.WithCallCounter(p.Store, n.meter.CountCall)
	n.build()
	n.serve(listeners)
	return n, nil
}

// build constructs the parts; each knows the others only through its seams.
func (n *Node) build() {
	s := n.settings
	self := ident.Host(s.Name)
	n.quota = quota.New(quotaIsolation, quotaTakeover, n.platform.QuotaSlack)
	n.poison = poison.New()
	n.poison.StrikeLimit = poisonStrikes
	n.evidence = trial.NewEvidence()
	n.gate = trial.NewGate()
	n.pool = conns.New(n.platform.Dialect.RequestID)
	n.watch = watch.New(watch.Deps{
		Store: n.platform.Store, Decode: n.platform.Decode, RegionByZone: s.Regions, Log: n.log, Now: time.Now, OnChange: n.changed,
		PeerReader: n.reader, FetchCopy: peer.Fetch,
	})
	n.mesh = link.New(link.Seams{
		Hello: n.hello, Handle: n.handle, Scheme: "ws", Client: func() *http.Client { return http.DefaultClient },
	})
	n.peers = peer.New(peer.Seams{
		Host: self, Self: n.self(), Store: n.platform.Store, Mesh: n.mesh, Watch: n.watch, Log: n.log, Seeds: s.Seeds,
		Heartbeat: n.heartbeat, Evidence: n.evidence.TakePending,
		Named: func(hosts []ident.Host) { n.quota.SetPeers(time.Now(), hosts) },
		Heard: n.heard,
		Left:  func(host ident.Host) { n.quota.RemovePeer(time.Now(), host) },
	})
	n.rolls = roll.New(roll.Deps{
		Store: n.platform.Store, Watch: n.watch, Log: n.log, Gate: n.gate, Evidence: n.evidence, Encode: n.platform.Encode,
		IsLeader: n.leads, Converged: n.settled, Broadcast: n.mesh.Broadcast,
	})
	n.rates = rates.New(rates.Seams{
		Self: self, Book: n.quota, Near: n.near, Call: n.mesh.Call, Cast: n.mesh.Cast, Now: time.Now, Log: n.log,
	})
	n.board = place.New(place.Settings{
		Location: place.Location{Zone: ident.AvailabilityZone(s.Zone), Region: ident.Region(s.Region)},
		Weights:  place.DefaultWeights(), WarmsUp: n.warms,
	})
	n.edge = n.newEdge()
}

func (n *Node) newEdge() *edge.Edge {
	return edge.New(edge.Seams{
		Dialect: n.platform.Dialect, Log: n.log, Table: n.watch.Table, Board: n.board, Pool: n.pool, Rates: n.rates,
		Poison: n.poison, BudgetShare: n.platform.RetryShare, BudgetSlack: n.platform.RetrySlack, Hosts: n.hosts,
		Version: n.rolls.Version, Judge: n.judge, Strike: n.strike, Gone: n.watch.MarkEnded, Leaving: n.leaving.Load,
		Count: n.meter.Count,
	})
}

// changed takes in what the store says now.
func (n *Node) changed() {
	now := time.Now()
	t := n.watch.Table()
	if t == nil {
		return
	}
	rates := map[ident.Team]quota.Rate{}
	for _, team := range t.Teams {
		rates[team.Name] = quota.Rate{PerSecond: team.Rate, Burst: team.Burst}
	}
	n.quota.SetRates(now, rates)
	servers := n.watch.Servers()
	n.rolls.SetServers(servers)
	n.board.Update(servers, func(service ident.Service) float64 {
		if s, ok := t.Service(service); ok {
			return s.ColdRate
		}
		return 0
	})
}

// sweep closes idle connections that are not wanted any more.
func (n *Node) sweep(ctx context.Context) {
	pulse.Every(ctx, sweepPause, func() {
		wanted := map[string]bool{}
		for _, s := range n.watch.Servers() {
			wanted[s.Address] = true
		}
		n.pool.CloseIdle(time.Now(), func(address string) bool { return wanted[address] })
	})
}

func (n *Node) self() wire.Edge {
	s := n.settings
	return wire.Edge{
		AvailabilityZone: s.Zone, Region: s.Region, Incarnation: int(n.start.UnixMilli()),
		LinkAddress: s.LinkAddress, CallerAddress: s.CallerAddress,
	}
}

func (n *Node) hello() wire.Hello {
	s := n.settings
	return wire.Hello{
		Host: s.Name, AvailabilityZone: s.Zone, Region: s.Region, Incarnation: int(n.start.UnixMilli()),
		LinkAddress: s.LinkAddress, CallerAddress: s.CallerAddress,
	}
}
