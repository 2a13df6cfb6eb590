//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	objectClients = 160
	objectTime    = 20 * time.Second
	objectGap     = 8 * time.Millisecond // between the requests of a client
	objectKey     = 15_000               // bytes of X-Affinity-Key; a head may have 16,384 bytes
	objectWork    = 100 * time.Millisecond
	objectTargets = 18
)

// playObjects: a few clients send requests of legal size, each about an object of its own with a long name.
func playObjects(p *play) (bool, error) {
	s, err := newStore()
	if err != nil {
		return false, err
	}
	s.put("op/config", config(7, []route{{"r-open", "/open/", "safe", "svc", 2, 2, true}}))
	var ran, answered atomic.Int64
	for i := range objectTargets {
		t, err := newTarget(s, fmt.Sprintf("i-%02d", i), "svc", zones[i%len(zones)], objectWork)
		if err != nil {
			return false, err
		}
		t.record = func(*target, *http.Request) { ran.Add(1) }
	}
	e, err := newEdge(p.dir, "front-donawitz-a-1", zones[0], s.address, nil)
	if err != nil {
		return false, err
	}
	if err := e.start(); err != nil {
		return false, err
	}
	if err := e.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	name := strings.Repeat("n", objectKey)
	if !p.trouble {
		name = "n"
	}
	before, err := peakMB(e.cmd.Process.Pid)
	if err != nil {
		return false, err
	}
	p.say("%d clients come; the process has used %d MB at most so far", objectClients, before)
	end := time.Now().Add(objectTime)
	var clients sync.WaitGroup
	for range objectClients {
		clients.Go(func() { sendObjects(e.front, name, end, &answered) })
	}
	clients.Wait()
	peak, err := peakMB(e.cmd.Process.Pid)
	if err != nil {
		return false, fmt.Errorf("the process has ended: %w", err)
	}
	p.say("%d requests sent, %d run by targets, %d answered", lastID.Load(), ran.Load(), answered.Load())
	p.say("the process has used %d MB at most, of %d MB", peak, machineMB)
	return peak <= machineMB, nil
}

// sendObjects sends requests on a connection one after the other and reads each answer. Each is about an object of its own.
func sendObjects(front, name string, end time.Time, answered *atomic.Int64) {
	conn, err := net.Dial("tcp", front)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for time.Now().Before(end) {
		id := lastID.Add(1)
		_, _ = fmt.Fprintf(conn, "GET /open/%d HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r%08d\r\nX-Deadline-Ms: 2000\r\nX-Affinity-Key: %d%s\r\n\r\n", id%100, id, id, name)
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		answered.Add(1)
		time.Sleep(objectGap)
	}
}
