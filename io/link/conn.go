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
	sendQueueSize = 512 // frames
	writeTimeout  = 2 * time.Second
)

var (
	// ErrNoLink is returned when there is no open link to the peer. Nothing was sent.
	ErrNoLink = merry.Sentinel("link: no link to the peer")
	// ErrClosed is returned when the link closed or the context ended. The peer may have received the frame.
	ErrClosed = merry.Sentinel("link: closed")
	// ErrQueueFull is returned when the send queue is full because the peer reads too slowly. Nothing was sent.
	ErrQueueFull = merry.Sentinel("link: send queue full")
)

// conn is one open link: a WebSocket connection with a send queue. It matches answers to pending calls by call ID.
type conn struct {
	socket      *websocket.Conn
	peer        wire.Hello
	sendQueue   chan *wire.Frame
	done        chan struct{}
	closeOnce   sync.Once
	sequence    atomic.Int64
	lastCall    atomic.Int64
	incarnation int // of this host
	bytesSent   *atomic.Int64
	heard       *heard
	pinging     atomic.Bool // the peer was pinged and has not answered yet

	mu      sync.Mutex
	pending map[int]chan wire.Frame
}

func newConn(socket *websocket.Conn, heard *heard, incarnation int, bytesSent *atomic.Int64) *conn {
	socket.SetReadLimit(maxFrameBytes)
	return &conn{
		socket: socket, sendQueue: make(chan *wire.Frame, sendQueueSize), done: make(chan struct{}),
		pending: map[int]chan wire.Frame{}, incarnation: incarnation, bytesSent: bytesSent, heard: heard,
	}
}

// close closes the WebSocket without a closing handshake. It may be called several times.
func (c *conn) close() {
	c.closeOnce.Do(func() {
		close(c.done)
		_ = c.socket.CloseNow()
	})
}

// write sets the frame's incarnation and sequence number and sends it within writeTimeout.
func (c *conn) write(ctx context.Context, f *wire.Frame) error {
	f.Incarnation = c.incarnation
	f.Sequence = int(c.sequence.Add(1))
	data, err := Encode(f)
	if err != nil {
		return err
	}
	c.bytesSent.Add(int64(len(data)))
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	return c.socket.Write(ctx, websocket.MessageBinary, data)
}

// read returns the next frame. The error wraps ErrClosed or ErrMalformedFrame.
func (c *conn) read(ctx context.Context) (wire.Frame, error) {
	_, data, err := c.socket.Read(ctx)
	if err != nil {
		return wire.Frame{}, merry.Prepend(ErrClosed, err.Error())
	}
	return Decode(data)
}

// writeLoop sends the queued frames until a write fails, the link closes or the context ends.
func (c *conn) writeLoop(ctx context.Context) {
	defer c.close()
	for {
		select {
		case f := <-c.sendQueue:
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

// readLoop passes answers to the pending calls and all other frames to handle, until a read fails. It drops frames
// with a sequence number that is not above the last one, or with another incarnation than the peer's Hello.
func (c *conn) readLoop(ctx context.Context, handle func(wire.Frame)) {
	defer c.close()
	lastSequence := 0
	for {
		f, err := c.read(ctx)
		if err != nil {
			return
		}
		c.heard.record()
		if f.Sequence <= lastSequence || f.Incarnation != c.peer.Incarnation {
			continue
		}
		lastSequence = f.Sequence
		if f.Answer {
			c.deliverAnswer(f)
			continue
		}
		handle(f)
	}
}

// deliverAnswer passes an answer to the pending call with its ID. It drops the answer if that call has ended.
func (c *conn) deliverAnswer(f wire.Frame) {
	c.mu.Lock()
	answer := c.pending[f.Call]
	delete(c.pending, f.Call)
	c.mu.Unlock()
	if answer != nil {
		answer <- f
	}
}

// send queues the frame without waiting. It returns ErrClosed or ErrQueueFull.
func (c *conn) send(f wire.Frame) error {
	select {
	case <-c.done:
		return ErrClosed
	default:
	}
	select {
	case c.sendQueue <- &f:
		return nil
	default:
		return ErrQueueFull
	}
}

// call queues the frame and waits for its answer. It returns ErrQueueFull, an error that wraps ErrClosed if the link
// closes or the context ends first, or an error with the reason if the peer answers with a fault.
func (c *conn) call(ctx context.Context, f wire.Frame) (wire.Frame, error) {
	f.Call = int(c.lastCall.Add(1))
	answer := make(chan wire.Frame, 1)
	c.mu.Lock()
	c.pending[f.Call] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, f.Call)
		c.mu.Unlock()
	}()
	if err := c.send(f); err != nil {
		return wire.Frame{}, err
	}
	select {
	case a := <-answer:
		if a.Fault != nil {
			return a, merry.Errorf("link: peer answered with a fault: %s", a.Fault.Reason)
		}
		return a, nil
	case <-c.done:
		return wire.Frame{}, ErrClosed
	case <-ctx.Done():
		return wire.Frame{}, merry.Prepend(ErrClosed, ctx.Err().Error())
	}
}
