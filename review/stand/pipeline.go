//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	largeBody   = 400 << 10 // bytes of an answer
	bodyTime    = 800 * time.Millisecond
	headTime    = 150 * time.Millisecond // until the head of an answer
	clientDelay = 55 * time.Millisecond  // one way
	clientConns = 30
)

func init() { cases["stop-pipelined"] = pipelinedAtStop }

// pipelinedAtStop sends safe requests in pairs on connections, the second one before anything of the first answer has come, and
// stops the host meanwhile as the platform does.
func pipelinedAtStop(s *stage) (bool, error) {
	s.configure(7)
	for i := range 6 {
		t, err := s.addTarget(fmt.Sprintf("t%d", i+1), 6, headTime)
		if err != nil {
			return false, err
		}
		t.respond = func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(largeBody))
			const pieces = 40
			for range pieces {
				_, _ = w.Write(make([]byte, largeBody/pieces))
				w.(http.Flusher).Flush()
				time.Sleep(bodyTime / pieces)
			}
		}
	}
	if err := s.addHosts(2); err != nil {
		return false, err
	}
	h := s.hosts[0]
	way, err := newProxy(h.caller, clientDelay)
	if err != nil {
		return false, err
	}
	time.Sleep(inTouch)
	var clients sync.WaitGroup
	var mu sync.Mutex
	unanswered := 0
	start := time.Now()
	for range clientConns {
		clients.Go(func() {
			time.Sleep(rand.N(300 * time.Millisecond))
			lost := s.pair(way.address)
			mu.Lock()
			defer mu.Unlock()
			unanswered += lost
		})
	}
	time.Sleep(time.Until(start.Add(50 * time.Millisecond)))
	if s.trouble {
		_ = h.cmd.Process.Signal(syscall.SIGTERM)
		s.note("%s gets SIGTERM", h.name)
	}
	clients.Wait()
	s.note("%d requests were passed on to a target and their connection ended without an answer", unanswered)
	return unanswered > 0, nil
}

// pair sends two requests on one connection and returns how many of them ran without an answer.
func (s *stage) pair(address string) (lost int) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	ids := []string{s.newID(), s.newID()}
	write := func(id string) {
		_, _ = fmt.Fprintf(c, "GET /read/%s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nAuthorization: Bearer secret\r\n\r\n", id, id)
		s.log("%s sent", id)
	}
	write(ids[0])
	time.Sleep(headTime + 20*time.Millisecond + rand.N(60*time.Millisecond))
	write(ids[1])
	reader := bufio.NewReader(c)
	for i, id := range ids {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
		}
		if err == nil {
			s.log("%s answered %d, close %v", id, response.StatusCode, response.Close)
			continue
		}
		for _, unanswered := range ids[i:] {
			n := s.reached(unanswered)
			s.log("%s not answered: %s; it ran at %d targets", unanswered, err, n)
			if n > 0 {
				lost++
			}
		}
		break
	}
	return lost
}
