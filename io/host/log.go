package host

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"

	klog "github.com/go-kratos/kratos/v2/log"
)

// NewLog returns a logger that writes one line of key=value pairs for each event.
func NewLog(w io.Writer, level slog.Level) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}

var frameworkOnce sync.Once

// setFrameworkLog passes the framework's log lines on. The framework has one logger for the whole process, which must
// not be set while another host runs.
func setFrameworkLog(log *slog.Logger) {
	frameworkOnce.Do(func() { klog.SetLogger(kratosLog{log}) })
}

// kratosLog passes the framework's log lines on at debug level.
type kratosLog struct{ log *slog.Logger }

// Log implements the framework's logger.
func (k kratosLog) Log(_ klog.Level, pairs ...any) error {
	k.log.Log(context.Background(), slog.LevelDebug, "framework", "detail", fmt.Sprint(pairs...))
	return nil
}
