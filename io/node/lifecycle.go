package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"

	"jayshift/io/edge"
	"jayshift/io/httpd"
	"jayshift/io/peer"
	"jayshift/io/serve"
	"jayshift/io/socket"
)

const (
	maxStopMargin    = 600 * time.Millisecond // reserved before the platform kills the process, in a long grace period
	stopMarginShare  = 0.25                   // of a short grace period that is reserved at most
	acceptFraction   = 0.5                    // of the grace period, during which a stopping host still accepts connections
	quietPeriod      = 700 * time.Millisecond // without requests in flight, after which a stopping host accepts no more connections
	stopPollInterval = 20 * time.Millisecond
	lastCountsTime   = 50 * time.Millisecond // in which the last counts of a stopping host are written to its links
	minLinkHeadBytes = 64 << 10              // a peer may have a later configuration with a higher limit; also the default for callers
	forwardingBytes  = 4 << 10               // of the header fields that a peer adds to a request
)

func (n *Node) listen() (map[string]net.Listener, error) {
	s := n.settings
	listeners := map[string]net.Listener{}
	for _, l := range []struct{ name, address string }{
		{"caller", s.CallerAddress}, {"directory", s.DirectoryAddress}, {"ready", s.ReadyAddress}, {"link", s.LinkAddress}, {"metrics", s.MetricsAddress},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return nil, merry.Prependf(err, "listen %s", l.name)
		}
		listeners[l.name] = listener
	}
	return listeners, nil
}

// buildApp builds the application with its HTTP servers.
func (n *Node) buildApp(listeners map[string]net.Listener) {
	linkMux := http.NewServeMux()
	linkMux.Handle("GET /v1/link", n.mesh)
	linkMux.HandleFunc("GET "+peer.CopyPath, n.peers.ServeCopy)
	linkHandler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if edge.IsForwarded(r) {
			n.edge.ServePeer(w, r)
			return
		}
		linkMux.ServeHTTP(w, r)
	})
	n.callerServer = httpd.New(listeners["caller"], n.log)
	n.callerServer.Handle, n.callerServer.DisableKeepAlives, n.callerServer.Limits = n.edge.Serve, n.leaving.Load, n.callerLimits
	n.callerServer.Budget = n.memory
	n.callerServer.MaxConns = socket.MaxCallers(n.settings.MaxDescriptors)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("GET /metrics", n.meter)
	small := serve.SmallLimits(n.memory, n.settings.MaxDescriptors)
	servers := []transport.Server{
		n.callerServer, serve.NewGuarded(listeners["directory"], n.platform.Directory(n.directory), small),
		serve.NewGuarded(listeners["ready"], n.platform.Ready(n.ready), small),
		serve.NewGuarded(listeners["link"], linkHandler, serve.LinkLimits(n.memory, n.settings.MaxDescriptors, n.linkHeadBytes)),
		serve.NewGuarded(listeners["metrics"], metricsMux, small),
	}
	serve.SetFrameworkLogger(n.log)
	// The framework stops the application on SIGQUIT; Run handles the other signals.
	n.app = kratos.New(
		kratos.Name("jayshift"), kratos.Server(servers...),
		kratos.Signal(syscall.SIGQUIT), kratos.BeforeStop(n.beforeStop), kratos.StopTimeout(n.platform.GracePeriod),
	)
}

// callerLimits returns the limits for callers' connections in the configuration in force.
func (n *Node) callerLimits() httpd.Limits {
	t := n.watch.Table()
	if t == nil {
		return httpd.Limits{}
	}
	return httpd.Limits{MaxHeaderBytes: t.Limits.MaxHeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// linkHeadBytes returns the longest head of a request at the link address: that of a caller in the configuration in force, with
// what a peer adds that has forwarded it.
func (n *Node) linkHeadBytes() int {
	if limit := n.callerLimits().MaxHeaderBytes; limit > 0 {
		return max(limit, minLinkHeadBytes) + forwardingBytes
	}
	return minLinkHeadBytes + forwardingBytes
}

// Run serves requests until a signal tells the process to stop. The signals must be caught from the start of the process,
// because an early signal would otherwise kill it.
func (n *Node) Run(signals <-chan os.Signal) error {
	go n.watch.Run(n.ctx)
	go n.peers.Run(n.ctx)
	go n.rolls.Run(n.ctx)
	go n.sweepConnections(n.ctx)
	go n.probeServers(n.ctx)
	go n.logRegions(n.ctx)
	if n.usage != nil {
		go n.usage.Run(n.ctx)
	}
	go n.logPlan(n.ctx)
	go n.logPaces(n.ctx)
	go serve.WatchMemory(n.ctx, n.memory, n.log)
	go n.handleSignals(signals)
	n.log.Info("host started", "host", n.settings.Name, "zone", n.settings.Zone, "region", n.settings.Region)
	err := n.app.Run()
	n.cancel()
	n.mesh.Close()
	n.log.Info("host stopped", "host", n.settings.Name)
	return merry.Wrap(err)
}

// handleSignals stops the host on a signal other than SIGHUP. On SIGHUP it only logs that changed settings need a restart,
// since a running host takes changes from the store only.
func (n *Node) handleSignals(signals <-chan os.Signal) {
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				n.stop()
				return
			}
			n.log.Info("told to reload; settings take effect at the next start", "host", n.settings.Name)
		case <-n.ctx.Done():
			return
		}
	}
}

func (n *Node) stop() {
	if err := n.app.Stop(); err != nil {
		n.log.Warn("stop failed", "host", n.settings.Name, "error", err.Error())
	}
}

// beforeStop removes the host from the directory, serves requests until none has been in flight for quietPeriod or
// acceptFraction of the grace period has passed, and then waits for the running ones. The responses announce to callers
// that their connections will be closed. Requests that may last beyond the grace period are refused from the start.
func (n *Node) beforeStop(context.Context) error {
	stopStart := time.Now()
	end := stopStart.Add(n.platform.GracePeriod - stopMargin(n.platform.GracePeriod))
	n.leaving.Store(true)
	n.edge.StopBy(end)
	n.log.Info("host stopping", "host", n.settings.Name, "in-flight", n.edge.InFlight())
	if n.usage != nil {
		n.usage.Stop() // before the lease ends, with which another host takes the duty
	}
	n.peers.Leave(n.ctx)
	acceptUntil := stopStart.Add(time.Duration(acceptFraction * float64(n.platform.GracePeriod)))
	quietSince := time.Now()
	for now := time.Now(); now.Before(acceptUntil) && now.Sub(quietSince) < quietPeriod; now = time.Now() {
		if n.edge.InFlight() > 0 {
			quietSince = now
		}
		time.Sleep(stopPollInterval)
	}
	n.drain(end)
	if n.usage != nil {
		n.usage.SendCounts()
		time.Sleep(lastCountsTime)
	}
	return nil
}

// stopMargin returns the time that is reserved before the end of a grace period, at which the platform kills the process.
func stopMargin(grace time.Duration) time.Duration {
	return min(maxStopMargin, time.Duration(stopMarginShare*float64(grace)))
}

// drain closes the callers' listener and idle connections, and waits for the running requests until end.
func (n *Node) drain(end time.Time) {
	ctx, cancel := context.WithDeadline(n.ctx, end)
	defer cancel()
	if err := n.callerServer.Stop(ctx); err != nil {
		n.log.Warn("requests cut at the end of the grace", "in-flight", n.edge.InFlight(), "error", err.Error())
	}
}
