package edge

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"jayshift/core/ident"
	"jayshift/core/reach"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/io/conns"
)

const (
	maxPeers = 2 // peers that one request is forwarded to
	// minUnreachable is the number of servers to which no connection could be opened after which a request is forwarded,
	// although the host does not count as cut off yet.
	minUnreachable = 2
)

// Headers of a request that is forwarded to a peer, and of the peer's response.
const (
	forwardedHeader = "Jayshift-Forwarded"    // name of the host that took the request from the caller
	serviceHeader   = "Jayshift-Service"      // service that the host has selected
	attemptsHeader  = "Jayshift-Max-Attempts" // backend servers that the request may still be sent to
	elapsedHeader   = "Jayshift-Elapsed-Ms"   // milliseconds since the caller's request was read
	configHeader    = "Jayshift-Config"       // version of the configuration that the host knows of; in the response, of the peer's
	leavingHeader   = "Jayshift-Leaving"      // in the response: id and start of the process that has said in its response that it leaves
	sentHeader      = "Jayshift-Sent"         // in the response: attempts that may have reached a backend server
	resultHeader    = "Jayshift-Result"       // in the response: a result; in the request: readsResult
)

// Peer is another host that can send a request to backend servers in place of this one.
type Peer struct {
	Host    ident.Host
	Address string
}

// IsForwarded reports whether a request on the link address was forwarded by a peer.
func IsForwarded(r *http.Request) bool { return r.Header.Get(forwardedHeader) != "" }

// startPeerAttempt forwards the request to a peer if this host is cut off from the backend servers, or has just found several
// of them unreachable. It reports whether it did. A forwarded request is never forwarded again.
func (e *Edge) startPeerAttempt(q *request, attempts *attemptSet, results chan<- attemptResult) bool {
	if q.from != "" || len(q.peers) >= maxPeers || !e.deps.Reach.CutOff() && q.unsent < minUnreachable {
		return false
	}
	regions, restricted := table.AllowedRegions(q.route, q.teamConfig)
	peer, ok := e.deps.Peer(reach.Query{AllowedRegions: regions, Restricted: restricted, Tried: q.peers})
	if !ok || !e.takeBudget(q) {
		return false
	}
	q.peers = append(q.peers, peer.Host)
	q.running++
	ctx, index := attempts.add(q.ctx)
	if q.idempotent() {
		go e.attemptAtPeer(ctx, index, q, peer, results)
	} else {
		e.attemptAtPeer(ctx, index, q, peer, results)
	}
	return true
}

// attemptAtPeer forwards the request to the peer and sends the result to results.
func (e *Edge) attemptAtPeer(ctx context.Context, index int, q *request, peer Peer, results chan<- attemptResult) {
	left := max(1, q.maxAttempts()-q.sent)
	response, _, err := e.deps.PeerPool.Do(ctx, peer.Address, q.peerRequest(e.deps.Host, left, e.knownVersion(q)), q.deadline.Add(peerMargin))
	e.recordPeerVersion(response)
	e.recordPeerLeaving(response)
	result := peerResult(ctx, q, response, err, left)
	result.reply.attempt = index
	results <- result
}

// knownVersion returns the version of the configuration that a peer must have, since requests of this host have been read by it: the
// own one, or the latest one of a peer.
func (e *Edge) knownVersion(q *request) table.Version {
	return max(q.table.Version, table.Version(e.peerVersion.Load()))
}

// recordPeerVersion records the version of the configuration by which a peer has read a request.
func (e *Edge) recordPeerVersion(response *conns.Response) {
	if response == nil {
		return
	}
	version, err := strconv.ParseInt(response.Header.Get(configHeader), 10, 64)
	response.Header.Del(configHeader)
	if err != nil {
		return
	}
	for known := e.peerVersion.Load(); version > known; known = e.peerVersion.Load() {
		if e.peerVersion.CompareAndSwap(known, version) {
			return
		}
	}
}

// recordPeerLeaving records that the server whose response a peer has passed on leaves.
func (e *Edge) recordPeerLeaving(response *conns.Response) {
	if response == nil {
		return
	}
	start, id, ok := strings.Cut(response.Header.Get(leavingHeader), " ")
	response.Header.Del(leavingHeader)
	millis, err := strconv.ParseInt(start, 10, 64)
	if ok && err == nil {
		e.deps.MarkLeaving(roster.Server{ID: ident.BackendServer(id), StartMillis: millis})
	}
}

// peerMargin is added to the deadline for the peer's response, so that the peer's reply to a late request is not lost.
const peerMargin = 100 * time.Millisecond

// peerRequest returns the request to forward to a peer, with the caller's API key and deadline as they were received.
func (q *request) peerRequest(self ident.Host, maxAttempts int, version table.Version) conns.Request {
	r := q.serverRequest("", q.deadline)
	h := q.r.Header.Clone()
	removeHopByHop(h)
	h.Set(forwardedHeader, string(self))
	h.Set(serviceHeader, string(q.service))
	h.Set(attemptsHeader, strconv.Itoa(maxAttempts))
	h.Set(elapsedHeader, strconv.FormatInt(time.Since(q.started).Milliseconds(), 10))
	h.Set(configHeader, strconv.FormatInt(int64(version), 10))
	h.Set(resultHeader, readsResult)
	r.Header = h
	return r
}

// peerResult returns the result of an attempt at a peer. If the peer's response is lost, all attempts that it was allowed
// count as sent.
func peerResult(ctx context.Context, q *request, response *conns.Response, err error, allowed int) attemptResult {
	switch {
	case errors.Is(err, conns.ErrCallerLeft):
		return attemptResult{reply: failedAttempt(outcomeCallerLeft, notSent)}
	case errors.Is(err, conns.ErrNotSent) && ctx.Err() == nil:
		return attemptResult{reply: failedAttempt(outcomeUnreachable, notSent)}
	case err != nil && ctx.Err() != nil:
		return attemptResult{reply: failedAttempt(outcomeCallerLeft, mayHaveRun), sent: allowed}
	case errors.Is(err, conns.ErrTimeout):
		return attemptResult{reply: failedAttempt(outcomeSilent, mayHaveRun), sent: allowed}
	case err != nil:
		return attemptResult{reply: failedAttempt(outcomeBroken, mayHaveRun), sent: allowed}
	}
	sent, err := strconv.Atoi(response.Header.Get(sentHeader))
	if err != nil || sent < 0 {
		sent = allowed
	}
	response.Header.Del(sentHeader)
	reply := peerReply(q, response)
	if reply.attemptStatus != notRun {
		sent = max(1, sent)
	}
	return attemptResult{reply: reply, sent: sent}
}

// ServePeer serves a request that a peer has forwarded. The peer has charged the team's rate.
func (e *Edge) ServePeer(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	q := newRequest(r.Context(), &e.deps.Protocol, r, time.Now())
	defer q.held.Release()
	q.takeForwarded()
	reply := q.replyToPeer(e.handle(q))
	e.setReturn(q, reply)
	e.recordSample(q, reply)
	e.log(q, reply)
	response := reply.toHTTP(q)
	if response.Release != nil {
		defer response.Release()
	}
	if response.Abort {
		panic(http.ErrAbortHandler)
	}
	h := w.Header()
	for name, values := range response.Header {
		h[name] = values
	}
	h.Set(sentHeader, strconv.Itoa(q.sent))
	h.Set(resultHeader, string(resultOf(q, reply)))
	h.Del(leavingHeader) // a backend server's own is no statement of this host
	if q.leaving != nil {
		h.Set(leavingHeader, strconv.FormatInt(q.leaving.StartMillis, 10)+" "+string(q.leaving.ID))
	}
	if q.table != nil {
		h.Set(configHeader, strconv.FormatInt(int64(q.table.Version), 10))
	}
	suppressDefaults(h)
	writePeerResponse(w, response.Status, response.ContentLength, response.Body, response.BodyStream)
}

// takeForwarded moves what the peer has added from the headers of a forwarded request to the request.
func (q *request) takeForwarded() {
	h := q.r.Header
	q.from = ident.Host(h.Get(forwardedHeader))
	q.serviceWanted = ident.Service(h.Get(serviceHeader))
	if n, err := strconv.Atoi(h.Get(attemptsHeader)); err == nil && n > 0 {
		q.attemptLimit = n
	}
	if ms, err := strconv.ParseInt(h.Get(elapsedHeader), 10, 32); err == nil && ms > 0 {
		q.started = q.started.Add(-time.Duration(ms) * time.Millisecond)
	}
	if version, err := strconv.ParseInt(h.Get(configHeader), 10, 64); err == nil {
		q.minVersion = table.Version(version)
	}
	q.readsResult = h.Get(resultHeader) == readsResult
	for _, name := range []string{forwardedHeader, serviceHeader, attemptsHeader, elapsedHeader, configHeader, resultHeader} {
		h.Del(name)
	}
}
