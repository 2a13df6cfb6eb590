package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/coder/websocket"

	"jayshift/core/wire"
)

const (
	sendQueue    = 512 // frames
	writeTimeout = 2 * time.Second
)

var (
	// ErrNoLink means that there is no open link to the peer; nothing was sent.
	ErrNoLink = merry.Sentinel("link: no link to the peer")
	// ErrClosed means that the link failed; the peer may have seen the frame.
	ErrClosed = merry.Sentinel("link: closed")
	// ErrFull means that the peer reads too slowly; nothing was sent.
	ErrFull = merry.Sentinel("link: send queue full")
)

// conn is one open WebSocket, with calls matched to their answers.
type conn struct {
	socket   *websocket.Conn
	peer     wire.Hello
	out      chan *wire.Frame
	done     chan struct{}
	once     sync.Once
	sequence atomic.Int64
	calls    atomic.Int64
	self     int // own incarnation
	bytes    *atomic.Int64

	mu      sync.Mutex
	waiting map[int]chan wire.Frame
}

func newConn(socket *websocket.Conn, incarnation int, bytes *atomic.Int64) *conn {
	socket.SetReadLimit(maxFrameBytes)
	return &conn{
		socket: socket, out: make(chan *wire.Frame, sendQueue), done: make(chan struct{}),
		waiting: map[int]chan wire.Frame{}, self: incarnation, bytes: bytes,
	}
}

func (c *conn) close() {
	c.once.Do(func() {
		close(c.done)
		_ = c.socket.CloseNow()
	})
}

func (c *conn) write(ctx context.Context, f *wire.Frame) error {
	f.Incarnation = c.self
	f.Sequence = int(c.sequence.Add(1))
	data, err := Encode(f)
	if err != nil {
		return err
	}
	c.bytes.Add(int64(len(data)))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.socket.Write(ctx, websocket.MessageBinary, data)
}

func (c *conn) read(ctx context.Context) (wire.Frame, error) {
	_, data, err := c.socket.Read(ctx)
	if err != nil {
		return wire.Frame{}, merry.Prepend(ErrClosed, err.Error())
	}
	return Decode(data)
}

// writeLoop sends queued frames until the link closes.
func (c *conn) writeLoop(ctx context.Context) {
	defer c.close()
	for {
		select {
		case f := <-c.out:
			if err := c.write(ctx, f); err != nil {
				return
			}
		case <-c.done:
			return
		case <-ctx.Done():
			return
		}
	}
}

// readLoop hands frames on until the link closes; frames out of order within a link are dropped.
func (c *conn) readLoop(ctx context.Context, handle func(wire.Frame)) {
	defer c.close()
	last := 0
	for {
		f, err := c.read(ctx)
		if err != nil {
			return
		}
		if f.Sequence <= last || f.Incarnation != c.peer.Incarnation {
			continue
		}
		last = f.Sequence
		if f.Answer {
			c.resolve(f)
			continue
		}
		handle(f)
	}
}

func (c *conn) resolve(f wire.Frame) {
	c.mu.Lock()
	answer := c.waiting[f.Call]
	delete(c.waiting, f.Call)
	c.mu.Unlock()
	if answer != nil {
		answer <- f
	}
}

func (c *conn) cast(f wire.Frame) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.out <- &f:
		return nil
	default:
		return ErrFull
	}
}

// call sends the frame and waits for its answer.
func (c *conn) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	f.Call = int(c.calls.Add(1))
	answer := make(chan wire.Frame, 1)
	c.mu.Lock()
	c.waiting[f.Call] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, f.Call)
		c.mu.Unlock()
	}()
	if err := c.cast(f); err != nil {
		return wire.Frame{}, err
	}
	select {
	case a := <-answer:
		if a.Fault != nil {
			return a, merry.Errorf("link: peer: %s", a.Fault.Reason)
		}
		return a, nil
	case <-c.done:
		return wire.Frame{}, ErrClosed
	case <-ctx.Done():
		return wire.Frame{}, merry.Prepend(ErrClosed, ctx.Err().Error())
	}
}
