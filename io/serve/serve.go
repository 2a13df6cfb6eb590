// Package serve runs handlers in the HTTP transport of the kratos framework, and creates loggers.
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

// New returns an HTTP server for the handler. It bypasses the framework's router, so that the handler gets unmodified
// paths.
func New(l net.Listener, handler http.Handler, options ...khttp.ServerOption) *khttp.Server {
	// Without an endpoint, the framework would search the machine's network interfaces for one.
	endpoint := &url.URL{Scheme: "http", Host: l.Addr().String()}
	s := khttp.NewServer(append(options, khttp.Listener(l), khttp.Timeout(0), khttp.Endpoint(endpoint))...)
	s.Handler = handler
	return s
}

// NewLogger returns a logger that writes events of at least the given level as lines of key=value pairs.
func NewLogger(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

var frameworkLoggerOnce sync.Once

// SetFrameworkLogger redirects the framework's log to the logger. Only the first call has an effect: the framework has
// one logger for the whole process, which must not be changed while another host is running.
func SetFrameworkLogger(log *slog.Logger) {
	frameworkLoggerOnce.Do(func() { klog.SetLogger(kratosLogger{log}) })
}

// kratosLogger writes the framework's log at debug level.
type kratosLogger struct{ log *slog.Logger }

// Log implements klog.Logger.
func (k kratosLogger) Log(_ klog.Level, pairs ...any) error {
	k.log.Log(context.Background(), slog.LevelDebug, "framework", "detail", fmt.Sprint(pairs...))
	return nil
}
