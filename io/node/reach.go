package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/reach"
	"jayshift/core/rest"
	"jayshift/core/roster"
	"jayshift/io/conns"
	"jayshift/io/edge"
	"jayshift/io/peer"
	"jayshift/io/ticker"
)

const (
	reachInterval = 50 * time.Millisecond // between checks whether to probe
	probeTimeout  = 800 * time.Millisecond
)

// probeServers probes backend servers while several of them do not answer requests, until ctx ends.
func (n *Node) probeServers(ctx context.Context) {
	ticker.Every(ctx, reachInterval, func() {
		if !n.reach.TakeProbe(time.Now()) {
			return
		}
		for _, s := range n.serversToProbe() {
			go n.probe(ctx, s.Server)
		}
	})
}

// serversToProbe returns a few random servers, first those that have not failed. Servers that rest get no probes either.
func (n *Node) serversToProbe() []roster.Entry {
	now := time.Now()
	list := slices.DeleteFunc(n.watch.Servers(), func(s roster.Entry) bool {
		_, resting := n.rests.End(now, rest.Server{ID: s.ID, Start: s.StartMillis})
		return resting
	})
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b roster.Entry) int {
		return boolToInt(n.reach.Failed(a.ID)) - boolToInt(n.reach.Failed(b.ID))
	})
	return list[:min(len(list), reach.ProbeSize)]
}

// probe asks a server for its health. Any answer shows that this host reaches it.
func (n *Node) probe(ctx context.Context, s roster.Server) {
	t := n.watch.Table()
	if t == nil {
		return
	}
	service, ok := t.Service(s.Service)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	request := conns.Request{Method: http.MethodGet, Target: service.HealthPath, Host: s.Address, Header: http.Header{}}
	request.Header.Set(n.platform.Protocol.ExpectedServer, string(s.ID))
	response, _, err := n.pool.Do(ctx, s.Address, request, deadline)
	if err == nil {
		n.edge.RecordProbe(s, response)
		n.reach.RecordAnswer(time.Now(), true)
		return
	}
	if errors.Is(err, conns.ErrRefused) {
		n.reach.RecordRefused(time.Now(), s.ID)
	}
	n.reach.RecordProbe(time.Now(), s.ID, !errors.Is(err, conns.ErrNotSent))
}

// peersReach reports whether a backend server has lately answered an active peer, by its last heartbeat.
func (n *Node) peersReach() bool {
	return slices.ContainsFunc(n.peers.Active(time.Now()), func(p peer.Peer) bool { return p.Heartbeat.Reaches != nil && *p.Heartbeat.Reaches })
}

// reachChanged is called when this host becomes cut off from all backend servers, or reaches one again.
func (n *Node) reachChanged(cutOff bool) {
	if cutOff {
		n.log.Warn("cut off from all backend servers, forwarding requests to peers", "servers", len(n.watch.Servers()))
		n.pool.CloseIdle(time.Now(), func(string) bool { return false })
		return
	}
	n.log.Info("backend servers reached again")
	n.balancer.Resume()
}

// forwardingPeer selects a peer to forward a request to.
func (n *Node) forwardingPeer(q reach.Query) (edge.Peer, bool) {
	self := reach.Host{Zone: ident.AvailabilityZone(n.settings.Zone), Region: ident.Region(n.settings.Region)}
	addresses := map[ident.Host]string{}
	version := 0
	if t := n.watch.Table(); t != nil {
		version = int(t.Version)
	}
	var hosts, behind []reach.Host // those behind have an earlier configuration, by their last heartbeat
	for _, p := range n.peers.Active(time.Now()) {
		if !p.Heartbeat.Ready {
			continue
		}
		h := reach.Host{Name: p.Host, Zone: p.Zone, Region: p.Region, CutOff: p.Heartbeat.CutOff}
		addresses[p.Host] = p.LinkAddress
		if p.Heartbeat.Version < version {
			behind = append(behind, h)
			continue
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 {
		hosts = behind
	}
	chosen, ok := reach.Choose(self, hosts, q, rand.IntN)
	return edge.Peer{Host: chosen.Name, Address: addresses[chosen.Name]}, ok
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
