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
	flushTimeout = 200 * time.Millisecond // maximum time to write buffered log lines before the process exits
	signalBuffer = 8                      // signals that are buffered until the node handles them; further ones are lost
)

type edgeCommand struct {
	Config string `help:"Settings file in INI form." required:"" env:"JAYSHIFT_CONFIG"`
}

// Run serves requests until a signal stops the process. Signals are caught before anything else, because an early one
// would otherwise kill it.
func (c *edgeCommand) Run() error {
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	settings, err := setup.ReadEdge(c.Config)
	if err != nil {
		return err
	}
	bounds, err := platform.ParseBounds(settings.Bounds)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(serve.RuntimeMemory(settings.MemoryMB))
	out := lines.New(os.Stdout)
	defer out.Flush(flushTimeout)
	usage := node.Usage{Encode: platform.EncodeUsage, Window: bounds.Usage.Window, Late: bounds.Usage.Late, Lease: bounds.Usage.Lease}
	if settings.UsageAddress != "" {
		usage.Call = platform.UsageCall(settings.UsageAddress)
	}
	n, err := node.New(settings, node.Platform{
		Store: platform.NewStore(settings.StoreAddress, settings.StorePollInterval), Protocol: platform.Protocol(),
		Decode: platform.Decode, Encode: platform.EncodeStatus, Directory: platform.DirectoryHandler, Ready: platform.ReadyHandler,
		RetryRatio: bounds.RetryRatio, RetrySlack: bounds.RetrySlack, QuotaSlack: bounds.QuotaSlack, Exposure: bounds.Exposure,
		CopyBound: bounds.CopyBound(), GracePeriod: bounds.GracePeriod, DirectoryTTL: bounds.MaxTTL, Usage: usage,
	}, serve.NewLogger(out, settings.LogLevel))
	if err != nil {
		return err
	}
	return n.Run(signals)
}
