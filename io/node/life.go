package node

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"jayshift/io/peer"
	"jayshift/io/serve"
)

const (
	headerTimeout  = 10 * time.Second // for the header of a request, beyond what any configuration allows
	idleTimeout    = 60 * time.Second
	headerBytes    = 64 << 10
	stopMargin     = 600 * time.Millisecond // kept before the platform kills the process
	takePortion    = 0.5                    // of the grace during which a stopping host still takes connections
	quietTime      = 700 * time.Millisecond // without any request after which a stopping host takes no more
	stopCheckPause = 20 * time.Millisecond
)

func (n *Node) listen() (map[string]net.Listener, error) {
	s := n.settings
	listeners := map[string]net.Listener{}
	for _, l := range []struct{ name, address string }{
		{"caller", s.Caller}, {"directory", s.Directory}, {"ready", s.Ready}, {"link", s.Link}, {"metrics", s.Metrics},
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
	callers := serve.New(listeners["caller"], n.edge)
	callers.ReadHeaderTimeout = headerTimeout
	callers.IdleTimeout = idleTimeout
	callers.MaxHeaderBytes = headerBytes
	n.servers = []*khttp.Server{
		callers, serve.New(listeners["directory"], n.platform.Directory(n.directory)),
		serve.New(listeners["ready"], n.platform.Ready(n.ready)), serve.New(listeners["link"], links),
		serve.New(listeners["metrics"], http.NotFoundHandler()),
	}
	serve.SetFrameworkLog(n.log)
	transports := make([]transport.Server, len(n.servers))
	for i, s := range n.servers {
		transports[i] = s
	}
	n.app = kratos.New(
		kratos.Name("jayshift"), kratos.Server(transports...),
		kratos.BeforeStop(n.beforeStop), kratos.StopTimeout(n.platform.Grace),
	)
}

// Run serves until the process is told to stop.
func (n *Node) Run() error {
	go n.watch.Run(n.ctx)
	go n.peers.Run(n.ctx)
	go n.rolls.Run(n.ctx)
	go n.sweep(n.ctx)
	go n.reloads()
	n.log.Info("host started", "host", n.settings.Name, "zone", n.settings.Zone, "region", n.settings.Region)
	err := n.app.Run()
	n.cancel()
	n.mesh.Close()
	n.log.Info("host stopped", "host", n.settings.Name)
	return merry.Wrap(err)
}

// reloads notes that the settings may have changed. All that a running host may change comes from the store.
func (n *Node) reloads() {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-hangups:
			n.log.Info("told to reload; settings take effect at the next start", "host", n.settings.Name)
		case <-n.ctx.Done():
			return
		}
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
	if err := n.servers[0].Shutdown(ctx); err != nil {
		n.log.Warn("requests cut at the end of the grace", "in-flight", n.edge.InFlight(), "error", err.Error())
	}
}
