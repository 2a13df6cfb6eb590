package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"jayshift/io/lines"
	"jayshift/io/node"
	"jayshift/io/serve"
	"jayshift/io/setup"
	"jayshift/platform"
)

const (
	flushTime   = 200 * time.Millisecond // for the last log lines at the end
	signalsKept = 8                      // signals that may come before the host obeys them
	megabyte    = 1 << 20
	memoryPart  = 0.8 // of the memory that the process may use, at which the collector works harder
)

type edgeCommand struct {
	Config string `help:"Settings file in INI form." required:"" env:"JAYSHIFT_CONFIG"`
}

// Run serves until the process is told to stop.
func (c *edgeCommand) Run() error {
	signals := make(chan os.Signal, signalsKept)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := setup.ReadEdge(c.Config)
	if err != nil {
		return err
	}
	bounds, err := platform.ParseBounds(settings.Bounds)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.MemoryMB) * megabyte))
	out := lines.New(os.Stdout)
	defer out.Flush(flushTime)
	n, err := node.New(settings, node.Platform{
		Store: platform.NewStore(settings.StoreAddress, settings.StorePollInterval), Protocol: platform.Dialect(),
		Decode: platform.Decode, Encode: platform.EncodeVerdict, Directory: platform.DirectoryHandler, Ready: platform.ReadyHandler,
		RetryRatio: bounds.RetryRatio, RetrySlack: bounds.RetrySlack, QuotaSlack: bounds.QuotaSlack,
		GracePeriod: bounds.GracePeriod, DirectoryTTL: bounds.MaxTTL,
	}, serve.NewLogger(out, settings.LogLevel))
	if err != nil {
		return err
	}
	return n.Run(signals)
}
