// Package crowd plays crowds of clients that a host does not control, for tests: each client sends a request in a form that
// may hold memory or a connection of the host, and keeps its connection open.
package crowd

import (
	"net"
	"sync"
	"time"
)

const (
	clients       = 150
	idleClients   = 600 // of forms that cost a host little memory each, but a descriptor
	playTime      = 2500 * time.Millisecond
	writeTimeout  = 2 * time.Second // a client whose host does not read stops sending
	dialTimeout   = 2 * time.Second
	slowInterval  = 50 * time.Millisecond
	holdTime      = 500 * time.Millisecond // the crowd stays open for so long before the host is measured
	longestClient = 8 << 20                // bytes that one client sends at most
)

// Door is an address of a host and the path that the clients ask for.
type Door struct {
	Name    string
	Address string
	Path    string
	Header  string // header fields of each request with their line breaks, including Host
}

// Form is what each client of a crowd does.
type Form struct {
	Name    string
	Clients int
	play    func(c *client)
}

// Crowd is a number of clients with open connections.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
	stop  chan struct{}
	wg    sync.WaitGroup
}

// Play opens the clients' connections to the door and lets each of them do what the form says, until it is done or playTime
// has passed. The connections stay open until Close.
func Play(d Door, f Form) *Crowd {
	c := &Crowd{stop: make(chan struct{})}
	for range f.Clients {
		c.wg.Go(func() { c.runClient(d, f) })
	}
	done := make(chan struct{})
	go func() {
		c.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(playTime):
	}
	time.Sleep(holdTime)
	return c
}

func (c *Crowd) runClient(d Door, f Form) {
	conn, err := net.DialTimeout("tcp", d.Address, dialTimeout)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	f.play(&client{conn: conn, door: d, stop: c.stop})
}

// Close closes the connections and waits for the clients.
func (c *Crowd) Close() {
	close(c.stop)
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.wg.Wait()
}
