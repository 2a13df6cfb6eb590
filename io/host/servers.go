package host

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"jayshift/core/ident"
	"jayshift/io/admin"
	"jayshift/io/serve"
	"jayshift/io/setup"
	"jayshift/io/socket"
)

// listen opens the listeners of the four servers, by name, and writes their actual addresses to the settings. On an
// error it closes the listeners that it has opened.
func listen(s *setup.Settings) (map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for name, address := range map[string]string{"caller": s.CallerAddress, "operator": s.OperatorAddress, "link": s.LinkAddress, "admin": s.AdminAddress} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, merry.Prependf(err, "listen on %s address", name)
		}
		listeners[name] = l
	}
	s.CallerAddress = listeners["caller"].Addr().String()
	s.OperatorAddress = listeners["operator"].Addr().String()
	s.LinkAddress = listeners["link"].Addr().String()
	s.AdminAddress = listeners["admin"].Addr().String()
	return listeners, nil
}

// linkScheme returns the URL scheme of the links to other hosts.
func (h *Host) linkScheme() string {
	if h.certs != nil {
		return "wss"
	}
	return "ws"
}

// linkClient returns the HTTP client that dials another host. With TLS it uses the current content of the TLS files.
func (h *Host) linkClient() *http.Client {
	if h.certs == nil {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: h.certs.ClientConfig()}}
}

// buildServers creates the caller, operator, link and admin servers and the app that runs them.
func (h *Host) buildServers(listeners map[string]net.Listener) error {
	operator := admin.New(admin.Deps{
		Host: ident.Host(h.settings.Name), Store: h.Store, Log: h.log, Token: h.settings.OperatorToken,
		Snapshot: h.Feed.Snapshot, SeatTable: h.Member.Table, Peers: h.Member.Peers, Verdict: h.Feed.Verdict, HomePartition: h.selectHomePartition,
	})
	descriptors := h.settings.MaxDescriptors
	callers := serve.NewGuarded(listeners["caller"], h.Entry,
		serve.CallerLimits(h.memory, socket.MaxCallers(descriptors), h.settings.MaxRequestTime), h.serverOptions()...)
	withAccount := callers.ConnContext
	callers.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return socket.WithConn(withAccount(ctx, c), c) }
	health := http.NewServeMux()
	health.Handle("GET /metrics", h.meter)
	health.HandleFunc("GET /healthz", h.healthz)
	h.httpServers = []*khttp.Server{
		callers, serve.NewGuarded(listeners["operator"], operator, serve.OperatorLimits(h.memory, descriptors), h.serverOptions()...),
		serve.NewGuarded(listeners["link"], h.linkMux(), serve.LinkLimits(h.memory, descriptors, nil), h.serverOptions()...),
		serve.NewGuarded(listeners["admin"], health, serve.SmallLimits(h.memory, descriptors)),
	}
	serve.SetFrameworkLogger(h.log)
	h.app = kratos.New(
		kratos.Name("jayshift"),
		kratos.Server(h.httpServers[0], h.httpServers[1], h.httpServers[2], h.httpServers[3]),
		kratos.BeforeStop(h.beforeStop), kratos.StopTimeout(h.settings.DrainTimeout),
	)
	return nil
}

// linkMux returns the handler for links that peers dial.
func (h *Host) linkMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/link", h.Mesh)
	return mux
}

// serverOptions returns the options of a server that uses TLS if the settings name a certificate.
func (h *Host) serverOptions() []khttp.ServerOption {
	if h.certs == nil {
		return nil
	}
	return []khttp.ServerOption{khttp.TLSConfig(h.certs.ServerConfig())}
}

// healthz answers 200 if the host may serve requests that are limited or need an API key, otherwise 503. The body contains
// each condition.
func (h *Host) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _, draining := h.Entry.Load()
	status := struct {
		Serving  bool `json:"serving"`
		Supplied bool `json:"supplied"`
		Loaded   bool `json:"loaded"`
		Draining bool `json:"draining"`
		Revision int  `json:"revision"`
	}{h.Member.Lease().Serving(time.Now()), h.Member.CanSpendLimits(), h.Feed.Loaded(), draining, int(h.Feed.Snapshot().Revision)}
	w.Header().Set("Content-Type", "application/json")
	if !status.Serving || !status.Supplied || !status.Loaded {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(status)
}
