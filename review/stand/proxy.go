//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyIP is the loopback address that proxies connect from, by which a target tells them from others.
const proxyIP = "127.0.0.2"

// proxy forwards connections to one address, with a delay each way.
type proxy struct {
	address, to string
	delay       time.Duration

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	silentAt time.Time // connections that were opened before carry nothing
}

func newProxy(to string, delay time.Duration) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), to: to, delay: delay, conns: map[net.Conn]bool{}}
	p.serve(l)
	return p, nil
}

func (p *proxy) serve(l net.Listener) {
	p.mu.Lock()
	p.listener = l
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c)
		}
	}()
}

// cut resets all connections and refuses new ones; heal ends the cut.
func (p *proxy) cut() {
	p.refuse()
	p.reset()
}

func (p *proxy) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
}

func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// silence makes all open connections carry nothing from now on, without a reset, while new ones work.
func (p *proxy) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silentAt = time.Now()
}

func (p *proxy) isSilent(openedAt time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return openedAt.Before(p.silentAt)
}

func (p *proxy) heal() error {
	l, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.serve(l)
	return nil
}

func (p *proxy) forward(from net.Conn) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(proxyIP)}}
	to, err := dialer.Dial("tcp", p.to)
	if err != nil {
		_ = from.(*net.TCPConn).SetLinger(0)
		_ = from.Close()
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pump(to, from) })
	both.Go(func() { p.pump(from, to) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
	_, _ = from.Close(), to.Close()
}

// chunk is what the proxy has read, and when it is to be passed on.
type chunk struct {
	data  []byte
	due   time.Time
	reset bool // the stream has ended with a reset
}

// pump copies one direction, each piece after the delay, and then the end of the stream.
func (p *proxy) pump(to, from net.Conn) {
	openedAt := time.Now()
	chunks := make(chan chunk, 4096)
	go func() {
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if p.isSilent(openedAt) {
				return // what is sent from now on is neither read nor answered
			}
			if n > 0 {
				chunks <- chunk{data: buffer[:n], due: time.Now().Add(p.delay)}
			}
			if err != nil {
				chunks <- chunk{due: time.Now().Add(p.delay), reset: err != io.EOF}
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		if p.isSilent(openedAt) {
			continue
		}
		if c.reset {
			_ = to.(*net.TCPConn).SetLinger(0)
			_ = to.Close()
			continue
		}
		if c.data == nil {
			_ = to.(*net.TCPConn).CloseWrite()
			continue
		}
		if _, err := to.Write(c.data); err != nil {
			_ = from.Close()
		}
	}
}
