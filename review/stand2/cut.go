//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
)

// cuttable is a loopback proxy in front of a target, by which one machine reaches it. While it is cut, new connections are refused and
// open ones are reset.
type cuttable struct {
	address, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newCuttable(target string) (*cuttable, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &cuttable{address: l.Addr().String(), target: target, listener: l, conns: map[net.Conn]bool{}}
	go c.serve(l)
	return c, nil
}

func (c *cuttable) serve(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", c.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c.mu.Lock()
		c.conns[client], c.conns[server] = true, true
		c.mu.Unlock()
		go c.relay(client, server)
		go c.relay(server, client)
	}
}

func (c *cuttable) relay(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_, _ = to.Close(), from.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, to)
	delete(c.conns, from)
}

// cut refuses new connections and resets the open ones.
func (c *cuttable) cut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.listener.Close()
	for conn := range c.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// view serves a store with the addresses of the targets replaced, so that one machine reaches them through its own proxies. It stands
// for the links of that machine.
type view struct {
	store     *store
	addresses map[string]string // of the proxies by those of the targets
	listener  net.Listener
}

func newView(s *store, addresses map[string]string) (*view, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &view{store: s, addresses: addresses, listener: l}
	go func() { _ = http.Serve(l, v) }()
	return v, nil
}

// captured is the response of the store before the addresses are replaced.
type captured struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (c *captured) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter.
func (c *captured) WriteHeader(status int) { c.status = status }

// Write implements http.ResponseWriter.
func (c *captured) Write(p []byte) (int, error) { return c.body.Write(p) }

// ServeHTTP implements http.Handler.
func (v *view) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &captured{header: http.Header{}, status: http.StatusOK}
	v.store.ServeHTTP(c, r)
	for name, values := range c.header {
		w.Header()[name] = values
	}
	w.WriteHeader(c.status)
	_, _ = w.Write(v.replace(c.body.Bytes()))
}

func (v *view) replace(body []byte) []byte {
	var response map[string]json.RawMessage
	if json.Unmarshal(body, &response) != nil {
		return body
	}
	for _, field := range []string{"items", "events"} {
		var list []item
		if response[field] == nil || json.Unmarshal(response[field], &list) != nil {
			continue
		}
		for i := range list {
			for from, to := range v.addresses {
				list[i].Value = bytes.ReplaceAll(list[i].Value, []byte(`"`+from+`"`), []byte(`"`+to+`"`))
			}
		}
		response[field], _ = json.Marshal(list)
	}
	data, _ := json.Marshal(response)
	return data
}
