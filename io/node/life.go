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

	"jayshift/io/httpd"
	"jayshift/io/peer"
	"jayshift/io/serve"
)

const (
	stopMargin     = 600 * time.Millisecond // kept before the platform kills the process
	takePortion    = 0.5                    // of the grace during which a stopping host still takes connections
	quietTime      = 700 * time.Millisecond // without any request after which a stopping host takes no more
	stopCheckPause = 20 * time.Millisecond
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

// serve builds the app with its servers.
func (n *Node) serve(listeners map[string]net.Listener) {
	links := http.NewServeMux()
	links.Handle("GET /v1/link", n.mesh)
	links.HandleFunc("GET "+peer.CopyPath, n.peers.ServeCopy)
	n.callers = httpd.New(listeners["caller"], n.log)
	n.callers.Handle, n.callers.DisableKeepAlives, n.callers.Limits = n.edge.Serve, n.leaving.Load, n.limits
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", n.meter)
	servers := []transport.Server{
		n.callers, serve.New(listeners["directory"], n.platform.Directory(n.directory)),
		serve.New(listeners["ready"], n.platform.Ready(n.ready)), serve.New(listeners["link"], links),
		serve.New(listeners["metrics"], metrics),
	}
	serve.SetFrameworkLogger(n.log)
	// The framework stops on this signal; all others go through Run.
	n.app = kratos.New(
		kratos.Name("jayshift"), kratos.Server(servers...),
		kratos.Signal(syscall.SIGQUIT), kratos.BeforeStop(n.beforeStop), kratos.StopTimeout(n.platform.Grace),
	)
}

// limits returns what callers may send by the configuration in force.
func (n *Node) limits() httpd.Limits {
	t := n.watch.Table()
	if t == nil {
		return httpd.Limits{}
	}
	return httpd.Limits{MaxHeaderBytes: t.Limits.MaxHeaderBytes, HeaderTimeout: t.Limits.HeaderTimeout, IdleTimeout: t.Limits.IdleTimeout}
}

// Run serves until a signal tells the process to stop. The signals are caught from the start of the process on, so that
// none that comes early ends it by force.
func (n *Node) Run(signals <-chan os.Signal) error {
	go n.watch.Run(n.ctx)
	go n.peers.Run(n.ctx)
	go n.rolls.Run(n.ctx)
	go n.sweep(n.ctx)
	go n.obey(signals)
	n.log.Info("host started", "host", n.settings.Name, "zone", n.settings.Zone, "region", n.settings.Region)
	err := n.app.Run()
	n.cancel()
	n.mesh.Close()
	n.log.Info("host stopped", "host", n.settings.Name)
	return merry.Wrap(err)
}

// obey stops the host when a signal asks for it, and notes that the settings may have changed. All that a running host
// may change comes from the store.
func (n *Node) obey(signals <-chan os.Signal) {
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

// beforeStop takes the host out of the directory, serves what still comes, and waits until nothing runs. Callers learn
// from the answers that their connections end.
func (n *Node) beforeStop(context.Context) error {
	stopped := time.Now()
	n.leaving.Store(true)
	n.log.Info("host stopping", "host", n.settings.Name, "in-flight", n.edge.InFlight())
	n.peers.Leave(n.ctx)
	takeUntil := stopped.Add(time.Duration(takePortion * float64(n.platform.Grace)))
	quietSince := time.Now()
	for now := time.Now(); now.Before(takeUntil) && now.Sub(quietSince) < quietTime; now = time.Now() {
		if n.edge.InFlight() > 0 {
			quietSince = now
		}
		time.Sleep(stopCheckPause)
	}
	n.stopTaking(stopped)
	return nil
}

// stopTaking closes the listener for callers and idle connections, and waits for the requests that run.
func (n *Node) stopTaking(stopped time.Time) {
	ctx, cancel := context.WithDeadline(n.ctx, stopped.Add(n.platform.Grace-stopMargin))
	defer cancel()
	if err := n.callers.Stop(ctx); err != nil {
		n.log.Warn("requests cut at the end of the grace", "in-flight", n.edge.InFlight(), "error", err.Error())
	}
}
