package edge

import (
	"sync/atomic"
	"time"

	"jayshift/core/poison"
	"jayshift/core/roster"
)

const (
	lossInterval = 1 * time.Second // after a loss until it is judged, in which a cut shows, and between later judgements
	maxLossDoubt = 6 * time.Second // for which a loss in doubt is judged again; it does not count then
	maxLosses    = 1024            // in doubt at a time; more do not count
	// answerWindow is the time since the last answer of a backend server in which a host counts as reaching them.
	answerWindow = 500 * time.Millisecond
)

// loss is a connection to a backend server that was lost while the server ran a request.
type loss struct {
	request poison.Fingerprint
	server  roster.Server
	at      time.Time
}

// verdict says whether the request has crashed the server, as far as this host knows.
type verdict int

const (
	inDoubt verdict = iota
	crashed
)

// losses counts the losses in doubt.
type losses struct{ pending atomic.Int64 }

// judgeLater counts a loss as a strike against the request once it has shown that the server has crashed. A host that was cut
// off from all servers meanwhile cannot tell from the loss alone: a cut may break connections too. Then the server itself is
// asked, whose machine refuses connections after a crash and is silent in a cut.
func (e *Edge) judgeLater(l loss) {
	if e.losses.pending.Add(1) > maxLosses {
		e.losses.pending.Add(-1)
		return
	}
	time.AfterFunc(lossInterval, func() { e.judgeAgain(l) })
}

// judgeAgain judges a loss, and once more after lossInterval while it is in doubt.
func (e *Edge) judgeAgain(l loss) {
	now := time.Now()
	if e.judge(l) == crashed {
		e.losses.pending.Add(-1)
		e.strike(l, now)
		return
	}
	if now.Sub(l.at) > maxLossDoubt {
		e.losses.pending.Add(-1)
		return
	}
	if e.deps.Reach.TakeCheck(now, l.server.ID) {
		e.deps.Probe(l.server)
	}
	time.AfterFunc(lossInterval, func() { e.judgeAgain(l) })
}

// judge decides whether a request has crashed the server that it was lost with.
func (e *Edge) judge(l loss) verdict {
	switch {
	case !e.deps.Reach.CutOffSince(l.at):
		return crashed
	case e.deps.Replaced(l.server):
		return crashed
	case e.deps.Reach.RefusedSince(l.server.ID, l.at) && !e.deps.PeersReach():
		return crashed
	}
	return inDoubt
}

// strike counts a crash against the request, here and at all other hosts.
func (e *Edge) strike(l loss, now time.Time) {
	if e.deps.Poison.Strike(now, l.request, l.server.ID) {
		e.deps.BroadcastStrike(l.request, l.server.ID)
	}
}

// ReachesServers reports whether a backend server has answered this host lately.
func (e *Edge) ReachesServers(now time.Time) bool {
	return e.deps.Reach.Answering(now.Add(-answerWindow))
}
