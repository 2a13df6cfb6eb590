// Package node assembles the components of an edge host's process and runs them.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2"

	"jayshift/core/budget"
	"jayshift/core/canary"
	"jayshift/core/elect"
	"jayshift/core/ident"
	"jayshift/core/limit"
	"jayshift/core/pace"
	"jayshift/core/place"
	"jayshift/core/poison"
	"jayshift/core/quota"
	"jayshift/core/reach"
	"jayshift/core/rest"
	"jayshift/core/roster"
	"jayshift/core/stale"
	core "jayshift/core/usage"
	"jayshift/core/wire"
	"jayshift/io/conns"
	"jayshift/io/edge"
	"jayshift/io/httpd"
	"jayshift/io/lines"
	"jayshift/io/link"
	"jayshift/io/meter"
	"jayshift/io/peer"
	"jayshift/io/rates"
	"jayshift/io/roll"
	"jayshift/io/serve"
	"jayshift/io/setup"
	"jayshift/io/store"
	"jayshift/io/ticker"
	"jayshift/io/usage"
	"jayshift/io/watch"
)

const (
	quotaIsolationTimeout = 1500 * time.Millisecond
	quotaTakeoverTimeout  = 3 * time.Second
	// poisonStrikeLimit is the number of backend servers that must be lost while running a request before it is refused.
	// It is above the default because a lost response looks the same as a lost server.
	poisonStrikeLimit = 3
	sweepInterval     = 1 * time.Second
	megabyte          = 1 << 20 // bytes
)

// Platform adapts jayshift to the platform's store, headers, endpoints and limits.
type Platform struct {
	Store    *store.Store
	Protocol edge.Protocol
	Decode   func(watch.Item) (watch.Change, error)
	Encode   func(watch.MoveStatus) (key string, value []byte, err error)
	// Directory returns the handler that tells callers which hosts to connect to, Ready the handler of the platform's
	// readiness check.
	Directory func(func(ident.AvailabilityZone, ident.Region) ([]string, time.Duration)) http.Handler
	Ready     func(func() bool) http.Handler

	RetryRatio   float64 // retries per request that all hosts together may send
	RetrySlack   float64 // retries above RetryRatio that are allowed in a window
	QuotaSlack   float64 // requests of a team above its rate that are allowed in a window
	Exposure     canary.Exposure
	CopyBound    time.Duration // age of a host's copy of the store from which it is not used if a later one can be had
	GracePeriod  time.Duration // time from the stop signal until the platform kills the process
	Usage        Usage
	DirectoryTTL time.Duration // maximum time for which callers cache a response of the directory
}

// Usage is what the platform requires of usage reports.
type Usage struct {
	Call   usage.Call // nil if no reports are sent
	Encode func(core.Window, core.Counts) string
	Window time.Duration // length of a window; 0 if no reports are required
	Late   time.Duration // from the end of a window until its report is due
	Lease  time.Duration // within which holders of the duty must not alternate
}

// Node is the process of an edge host.
type Node struct {
	settings     *setup.EdgeSettings
	platform     Platform
	log          *slog.Logger
	app          *kratos.App
	callerServer *httpd.Server
	ctx          context.Context
	cancel       context.CancelFunc
	leaving      atomic.Bool
	expired      atomic.Bool // the last look found the copy of the store expired
	startedAt    time.Time

	watch    *watch.Watch
	stale    *stale.Monitor
	peers    *peer.Peers
	mesh     *link.Mesh
	balancer *place.Balancer
	quota    *quota.Limiter
	rates    *rates.Limiter
	limits   *limit.Limiter
	rests    *rest.Book
	paces    *pace.Book // nil if hosts do not share the pace of backend servers
	// restLines limits the log lines about rests.
	restLines *lines.Limiter
	reach     *reach.Detector
	poison    *poison.Detector
	evidence  *canary.Evidence
	gate      *canary.Gate
	rolls     *roll.Rollouts
	pool      *conns.Pool
	edge      *edge.Edge
	meter     *meter.Edge
	usage     *usage.Reporter // nil if no usage reports are sent
	memory    *budget.Budget  // for what clients send and do not read
}

// New returns a node that listens on the addresses of its settings. It serves no requests until Run is called.
func New(s *setup.EdgeSettings, p Platform, log *slog.Logger) (*Node, error) {
	n := &Node{settings: s, platform: p, log: log, startedAt: time.Now(), restLines: lines.NewLimiter(maxRestLines)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	listeners, err := n.listen()
	if err != nil {
		return nil, err
	}
	if n.meter, err = n.newMeter(); err != nil {
		return nil, err
	}
	n.platform.Store = store.WithCallCounter(p.Store, n.meter.RecordStoreCall)
	n.buildComponents()
	n.buildApp(listeners)
	return n, nil
}

// buildComponents constructs the components, which are connected only through the dependencies that they are given.
func (n *Node) buildComponents() {
	s := n.settings
	self := ident.Host(s.Name)
	n.memory = budget.New(serve.ClientMemory(s.MemoryMB))
	n.stale = stale.New(n.platform.CopyBound)
	n.quota = quota.New(quotaIsolationTimeout, quotaTakeoverTimeout, n.platform.QuotaSlack)
	n.poison = poison.New()
	n.poison.StrikeLimit = poisonStrikeLimit
	n.evidence = canary.NewEvidence()
	n.gate = canary.NewGate()
	n.pool = conns.New(n.platform.Protocol.RequestID, int64(s.BodyBufferMB)*megabyte)
	n.watch = watch.New(watch.Deps{
		Store: n.platform.Store, Decode: n.platform.Decode, RegionByZone: s.Regions, Log: n.log, Now: time.Now,
		OnChange: n.applyStoreChange, PeerReader: n.copySource, FetchCopy: peer.Fetch,
	})
	n.mesh = link.New(link.Deps{
		Hello: n.hello, Handle: n.handleFrame, Scheme: "ws", Log: n.log,
		OnOpen:     func(to wire.Hello) { n.peers.OnLinkOpen(to) },
		HTTPClient: func() *http.Client { return http.DefaultClient },
	})
	n.peers = peer.New(peer.Deps{
		Host: self, Self: n.storeEntry(), Store: n.platform.Store, Watch: n.watch, Log: n.log, Seeds: s.Seeds,
		LeaseHolders: n.watch.Hosts, StoreLost: n.watch.StoreLost,
		SetLinks: n.mesh.SetPeers, Linked: n.mesh.LinkedHosts, Send: n.mesh.Send, Reply: n.mesh.Reply,
		Heartbeat: n.heartbeat, Evidence: n.evidence.TakePending,
		OnLeaseHolders: func(hosts []ident.Host) { n.quota.SetPeers(time.Now(), hosts) },
		OnHeartbeat:    n.recordPeer,
		OnLeave:        func(host ident.Host) { n.quota.RemovePeer(time.Now(), host) },
		OnAlive:        func(host ident.Host) { n.quota.RecordPeerAlive(time.Now(), host) },
		OnStore:        func(sentAt time.Time) { n.stale.RecordStore(time.Now(), sentAt) },
		OnFreshPeer:    func() { n.stale.RecordPeer(time.Now()) },
		OnCopyAge:      func(age time.Duration) { n.stale.RecordPeerAge(time.Now(), age) },
		CopyAge:        n.watch.Age,
		OnMessage:      n.handleMessage,
		Strikes:        n.strikes, OnHandover: n.applyHandover,
	})
	n.rolls = roll.New(roll.Deps{
		Store: n.platform.Store, Watch: n.watch, Log: n.log, Gate: n.gate, Evidence: n.evidence, Encode: n.platform.Encode,
		Exposure: n.platform.Exposure, Self: n.trialHost(), Hosts: n.trialHosts, PeerVersion: n.peerVersion,
		IsLeader: n.leadsMove, Converged: n.otherVersionsDrained, Broadcast: n.peers.Broadcast,
	})
	n.rates = rates.New(rates.Deps{
		Self: self, Quota: n.quota, Counters: n.countingHosts, Call: n.mesh.Call, Cast: n.mesh.Send, Now: time.Now, Log: n.log,
	})
	n.limits = limit.New(self, time.Now(), rand.Float64)
	n.limits.OnChange = n.logLimit
	n.rests = rest.New()
	n.rests.OnRest = n.logRest
	if s.SharePace {
		n.paces = pace.New()
	}
	n.balancer = place.New(place.Settings{
		Host: self, Limits: n.limits, Rests: n.rests, Paces: n.paces,
		Location: place.Location{Zone: ident.AvailabilityZone(s.Zone), Region: ident.Region(s.Region)},
		Weights:  place.DefaultWeights(), PlanRegions: s.PlanRegions, WarmsUp: n.warmsUp(elect.NewWarmer(self, n.regionHosts)),
	})
	n.reach = reach.New()
	n.reach.OnChange = n.reachChanged
	n.usage = n.newUsage()
	n.edge = n.newEdge()
}

func (n *Node) newEdge() *edge.Edge {
	deps := edge.Deps{
		Protocol: n.platform.Protocol, Log: n.log, Table: n.watch.Table, CopyExpired: n.copyExpired, CopyAge: n.watch.Age, Balancer: n.balancer, Limits: n.limits, Rests: n.rests, Pool: n.pool, Rates: n.rates,
		Poison: n.poison, RetryRatio: n.platform.RetryRatio, RetrySlack: n.platform.RetrySlack, HostCount: n.hostCount,
		Versions: n.versions(), BroadcastStrike: n.broadcastStrike,
		MarkEnded: n.watch.MarkEnded, MarkLeaving: n.watch.MarkLeaving, Host: ident.Host(n.settings.Name), Reach: n.reach, Peer: n.forwardingPeer,
		Replaced: n.watch.Replaced, PeersReach: n.peersReach, Probe: func(s roster.Server) { go n.probe(n.ctx, s) },
		PeerPool: conns.New(n.platform.Protocol.RequestID, int64(n.settings.BodyBufferMB)*megabyte),
		Count:    n.meter.RecordRequest, WaitForRoom: n.settings.WaitForRoom,
	}
	if n.usage != nil {
		deps.BeginRun = n.usage.Begin
	}
	return edge.New(deps)
}

// applyStoreChange updates the rate limits and the backend servers after the known state of the store has changed.
func (n *Node) applyStoreChange() {
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
	n.reach.SetKnown(len(servers))
	n.rolls.SetServers(servers)
	n.balancer.Update(servers, func(service ident.Service) float64 {
		if s, ok := t.Service(service); ok {
			return s.ColdRate
		}
		return 0
	})
}

// sweepConnections periodically closes idle connections that have expired or lead to removed backend servers.
func (n *Node) sweepConnections(ctx context.Context) {
	ticker.Every(ctx, sweepInterval, func() {
		inUse := map[string]bool{}
		for _, s := range n.watch.Servers() {
			inUse[s.Address] = true
		}
		n.pool.CloseIdle(time.Now(), func(address string) bool { return inUse[address] })
	})
}

func (n *Node) storeEntry() wire.Edge {
	s := n.settings
	return wire.Edge{
		AvailabilityZone: s.Zone, Region: s.Region, Incarnation: int(n.startedAt.UnixMilli()),
		LinkAddress: s.LinkAddress, CallerAddress: s.CallerAddress, LinkMbit: &s.LinkMbit,
	}
}

func (n *Node) hello() wire.Hello {
	s := n.settings
	return wire.Hello{
		Host: s.Name, AvailabilityZone: s.Zone, Region: s.Region, Incarnation: int(n.startedAt.UnixMilli()),
		LinkAddress: s.LinkAddress, CallerAddress: s.CallerAddress,
	}
}
