//go:build review

package main

import (
	"bufio"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// planHeader tells a target how to answer a request, as a URL query: n (bytes of the body), delay (milliseconds until the answer
	// begins), pause (milliseconds from the first part of the body to the rest) and crash (the request crashes the target).
	planHeader = "X-Plan"
	// Of 10 targets garbleTargets are faulty. Together they garble no more than garbleShare of their answers, at any moment: the dose of
	// garble, how = "unframed".
	garbleTargets = 5
	garbleShare   = 0.05
	slots         = 6
	heartbeat     = 1500 * time.Millisecond
	inTouch       = 5 * time.Second // longer than stabilityS
)

// run is a request that a target has begun to work on.
type run struct {
	target string
	at     time.Time
}

// target is a stand-in of a target.
type target struct {
	id, service, address, zone string
	born                       int64
	stage                      *stage
	// faulty targets break off some answers, or let them go on without end if endless is set.
	faulty, endless bool

	// crashes is set for a target that a request may crash. It is back after crashTime.
	crashes bool

	mu       sync.Mutex
	runs     map[string][]run // by request id
	seq      int
	boots    int
	listener net.Listener // nil while the target is down
	conns    map[net.Conn]bool
}

// addTarget starts a target and writes its entry in the store from now on.
func (s *stage) addTarget(id, service, zone string) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, address: l.Addr().String(), zone: zone, born: time.Now().UnixMilli(), stage: s, runs: map[string][]run{}, listener: l, conns: map[net.Conn]bool{}}
	go t.accept(l)
	t.report()
	go func() {
		for {
			time.Sleep(heartbeat)
			t.report()
		}
	}()
	return t, nil
}

// entryID returns the id of the target's present boot.
func (t *target) entryID() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bootID()
}

func (t *target) bootID() string { return t.id + "-" + strconv.Itoa(t.boots) }

// crash ends the target's process: its connections are reset, new ones are refused, and its entry lapses. Another boot with another id
// takes its place at the same address after crashTime.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return
	}
	_ = t.listener.Close()
	t.listener = nil
	for c := range t.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	ended := t.bootID()
	time.AfterFunc(crashTime, func() { t.restart(ended) })
}

func (t *target) restart(ended string) {
	l, err := net.Listen("tcp", t.address)
	if err != nil {
		t.stage.log("%s doesn't come back: %v", t.id, err)
		return
	}
	t.mu.Lock()
	t.boots++
	t.seq, t.born, t.listener, t.conns = 0, time.Now().UnixMilli(), l, map[net.Conn]bool{}
	t.mu.Unlock()
	go t.accept(l)
	t.report()
	t.stage.store.remove("servers/" + ended)
}

// report writes the target's entry in the store.
func (t *target) report() {
	t.mu.Lock()
	t.seq++
	seq, born, id, down := t.seq, t.born, t.bootID(), t.listener == nil
	t.mu.Unlock()
	if down {
		return
	}
	t.stage.store.put("servers/"+id, map[string]any{
		"service": t.service, "address": t.address, "zone": t.zone, "version": "v1", "slots": slots, "state": "ready", "coldLeftS": 0,
		"seq": seq, "born": born,
	})
}

func (t *target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		t.conns[c] = true
		t.mu.Unlock()
		go t.serve(c)
	}
}

// serve serves the requests of one connection, one at a time.
func (t *target) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns, c)
	}()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !t.answer(c, r) {
			return
		}
	}
}

// answer answers a request. It returns false if the connection is to be closed.
func (t *target) answer(c net.Conn, r *http.Request) bool {
	id, boot := r.Header.Get("X-Request-Id"), t.entryID()
	head := "X-Request-Id: " + id + "\r\nX-Instance-Id: " + boot + "\r\n"
	switch {
	case r.Header.Get("X-Expect-Instance") != boot:
		_, err := io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	case r.URL.Path == "/health":
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Content-Length: 0\r\n\r\n")
		return err == nil
	}
	garbled := t.begin(id)
	plan, _ := url.ParseQuery(r.Header.Get(planHeader))
	if t.crashes && plan.Has("crash") {
		t.crash()
		return false
	}
	time.Sleep(time.Duration(number(plan, "delay")) * time.Millisecond)
	head += "X-Response-Signature: " + signatureOf(id, t.id) + "\r\nX-Server-Load: 1,0," + strconv.Itoa(slots) + "\r\n"
	body := bodyOf(id, t.id, number(plan, "n"))
	if garbled && t.endless {
		t.answerWithoutEnd(c, head, body)
		return false
	}
	first, rest := body[:len(body)*4/5], body[len(body)*4/5:]
	if !garbled {
		head += "Content-Length: " + strconv.Itoa(len(body)) + "\r\n"
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\n%s", head, first)
	time.Sleep(time.Duration(number(plan, "pause")) * time.Millisecond)
	if garbled {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the answer has no length, and is reset on the way
		}
		return false
	}
	_, err := c.Write(rest)
	return err == nil
}

const (
	endlessPiece = 50 * time.Millisecond
	endlessTime  = 60 * time.Second // bounds an answer without end
)

// answerWithoutEnd sends the body again and again until the caller closes.
func (t *target) answerWithoutEnd(c net.Conn, head string, body []byte) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n")
	for end := time.Now().Add(endlessTime); time.Now().Before(end); time.Sleep(endlessPiece) {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(body), body); err != nil {
			return
		}
	}
}

// begin records that the target has begun to work on a request. It reports whether the answer is to be garbled.
func (t *target) begin(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[id] = append(t.runs[id], run{target: t.id, at: time.Now()})
	return t.faulty && t.stage.garble.take()
}

// dose counts the answers of all faulty targets, and those of them that are garbled.
type dose struct {
	mu             sync.Mutex
	begun, garbled int
}

// take counts an answer, and reports whether it is to be garbled.
func (d *dose) take() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.begun++
	if float64(d.garbled+1) > garbleShare*float64(d.begun) {
		return false
	}
	d.garbled++
	return true
}

// bodyOf returns the body of n bytes with which the target answers the request.
func bodyOf(id, target string, n int) []byte {
	line := id + " " + target + "\n"
	return []byte(strings.Repeat(line, n/len(line)+1)[:n])
}

// signatureOf returns the signature of the target's answer to the request.
func signatureOf(id, target string) string {
	return fmt.Sprintf("%s.%08x", target, crc32.ChecksumIEEE([]byte(id+"/"+target)))
}

func number(plan url.Values, name string) int {
	n, _ := strconv.Atoi(plan.Get(name))
	return n
}

// allRuns returns the runs of all the targets, by request id.
func allRuns(targets []*target) map[string][]run {
	all := map[string][]run{}
	for _, t := range targets {
		t.mu.Lock()
		for id, list := range t.runs {
			all[id] = append(all[id], list...)
		}
		t.mu.Unlock()
	}
	return all
}
