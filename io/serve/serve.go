// Package serve wraps handlers in the framework's HTTP transport.
package serve

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"sync"

	klog "github.com/go-kratos/kratos/v2/log"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

// New wraps a handler in the HTTP transport. The handler gets paths as they came, not through the framework's router.
func New(l net.Listener, handler http.Handler, options ...khttp.ServerOption) *khttp.Server {
	// The endpoint is stated, since the framework would look for one among the machine's network interfaces.
	endpoint := &url.URL{Scheme: "http", Host: l.Addr().String()}
	s := khttp.NewServer(append(options, khttp.Listener(l), khttp.Timeout(0), khttp.Endpoint(endpoint))...)
	s.Handler = handler
	return s
}

// NewLog returns a logger that writes one line of key=value pairs for each event.
func NewLog(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

var frameworkOnce sync.Once

// SetFrameworkLog passes the framework's log lines on. The framework has one logger for the whole process, which must
// not be set while another host runs.
func SetFrameworkLog(log *slog.Logger) {
	frameworkOnce.Do(func() { klog.SetLogger(kratosLog{log}) })
}

// kratosLog passes the framework's log lines on at debug level.
type kratosLog struct{ log *slog.Logger }

// Log implements the framework's logger.
func (k kratosLog) Log(_ klog.Level, pairs ...any) error {
	k.log.Log(context.Background(), slog.LevelDebug, "framework", "detail", fmt.Sprint(pairs...))
	return nil
}
