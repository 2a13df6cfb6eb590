package socket

import (
	"context"
	"net"
	"sync"
	"time"
)

// watchInterval is the time between two looks at a connection that is not being read.
const watchInterval = 200 * time.Millisecond

// watch looks at a connection until it is stopped or the other side has closed the connection.
type watch struct {
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// Watch calls left if the other side of the connection closes it before stop is called. It is for the time in which nobody
// reads the connection. left may still be running when stop returns.
func Watch(c net.Conn, left func()) (stop func()) {
	w := &watch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(watchInterval, func() { w.look(c, left) })
	return w.stop
}

// WatchCaller is Watch for the connection of the context's caller. Without one, it does nothing.
func WatchCaller(ctx context.Context, left func()) (stop func()) {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	if c == nil {
		return func() {}
	}
	return Watch(c, left)
}

func (w *watch) look(c net.Conn, left func()) {
	if PeerClosed(c) {
		left()
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(watchInterval)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
