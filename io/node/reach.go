package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"jayshift/core/ident"
	"jayshift/core/roster"
	"jayshift/io/conns"
	"jayshift/io/edge"
	"jayshift/io/peer"
	"jayshift/io/ticker"
)

const (
	reachInterval   = 100 * time.Millisecond // between checks whether to probe
	probeTimeout    = 800 * time.Millisecond
	serversPerProbe = 2
)

// probeServers probes backend servers while several of them do not answer requests, until ctx ends.
func (n *Node) probeServers(ctx context.Context) {
	ticker.Every(ctx, reachInterval, func() {
		if !n.reach.TakeProbe(time.Now()) {
			return
		}
		for _, s := range n.serversToProbe() {
			go n.probe(ctx, s)
		}
	})
}

// serversToProbe returns a few random servers, first those that have not failed.
func (n *Node) serversToProbe() []roster.Entry {
	list := n.watch.Servers()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, func(a, b roster.Entry) int {
		return boolToInt(n.reach.Failed(a.ID)) - boolToInt(n.reach.Failed(b.ID))
	})
	return list[:min(len(list), serversPerProbe)]
}

// probe asks a server for its health. Any answer shows that this host reaches it.
func (n *Node) probe(ctx context.Context, s roster.Entry) {
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
	_, _, err := n.pool.Do(ctx, s.Address, request, deadline)
	switch {
	case err == nil:
		n.reach.RecordAnswer(time.Now(), true)
	case errors.Is(err, conns.ErrNotSent):
		n.reach.RecordUnopened(time.Now(), s.ID)
	default:
		n.reach.RecordBroken(time.Now(), s.ID)
	}
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

// forwardingPeer selects a peer to forward a request to: one of this host's zone if possible, else of its region, else of
// another one. With restricted, the peer must be in one of the regions.
func (n *Node) forwardingPeer(regions []ident.Region, restricted bool, tried []ident.Host) (edge.Peer, bool) {
	var list []peer.Peer
	for _, p := range n.peers.Active(time.Now()) {
		allowed := !restricted || slices.Contains(regions, p.Region)
		if p.Heartbeat.Ready && !p.Heartbeat.CutOff && allowed && !slices.Contains(tried, p.Host) {
			list = append(list, p)
		}
	}
	if len(list) == 0 {
		return edge.Peer{}, false
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	best := slices.MinFunc(list, func(a, b peer.Peer) int { return n.distance(a) - n.distance(b) })
	return edge.Peer{Host: best.Host, Address: best.LinkAddress}, true
}

// distance returns 0 for a peer in this host's zone, 1 for one in its region and 2 for others.
func (n *Node) distance(p peer.Peer) int {
	switch {
	case string(p.Zone) == n.settings.Zone:
		return 0
	case string(p.Region) == n.settings.Region:
		return 1
	}
	return 2
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
