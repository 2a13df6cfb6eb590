package host

import (
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
)

func listen(s *setup.Settings) (map[string]net.Listener, error) {
	listeners := map[string]net.Listener{}
	for name, address := range map[string]string{"caller": s.Caller, "operator": s.Operator, "link": s.Link, "admin": s.Admin} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			for _, open := range listeners {
				_ = open.Close()
			}
			return nil, merry.Prependf(err, "listen %s", name)
		}
		listeners[name] = l
	}
	s.Caller = listeners["caller"].Addr().String()
	s.Operator = listeners["operator"].Addr().String()
	s.Link = listeners["link"].Addr().String()
	s.Admin = listeners["admin"].Addr().String()
	return listeners, nil
}

func (h *Host) linkScheme() string {
	if h.certs != nil {
		return "wss"
	}
	return "ws"
}

// linkClient returns the client that dials another host, with the TLS files as they are now.
func (h *Host) linkClient() *http.Client {
	if h.certs == nil {
		return http.DefaultClient
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: h.certs.ClientConfig()}}
}

// serve builds the app with its four servers.
func (h *Host) serve(listeners map[string]net.Listener) error {
	operator := admin.New(admin.Seams{
		Host: ident.Host(h.settings.Name), Store: h.Store, Log: h.log, Token: h.settings.OperatorToken,
		Snapshot: h.Feed.Snapshot, Table: h.Member.Table, Peers: h.Member.Peers, Verdict: h.Feed.Verdict, Homes: h.homeFor,
	})
	health := http.NewServeMux()
	health.Handle("GET /metrics", h.meter)
	health.HandleFunc("GET /healthz", h.healthz)
	h.servers = []*khttp.Server{
		h.server(listeners["caller"], h.Entry), h.server(listeners["operator"], operator),
		h.server(listeners["link"], h.linkMux()), serve.New(listeners["admin"], health),
	}
	serve.SetFrameworkLog(h.log)
	h.app = kratos.New(
		kratos.Name("jayshift"),
		kratos.Server(h.servers[0], h.servers[1], h.servers[2], h.servers[3]),
		kratos.BeforeStop(h.beforeStop), kratos.StopTimeout(h.settings.DrainLimit),
	)
	return nil
}

func (h *Host) linkMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/link", h.Mesh)
	return mux
}

// server wraps a handler in the HTTP transport, with TLS when the settings name its files.
func (h *Host) server(l net.Listener, handler http.Handler) *khttp.Server {
	if h.certs == nil {
		return serve.New(l, handler)
	}
	return serve.New(l, handler, khttp.TLSConfig(h.certs.ServerConfig()))
}

// healthz answers 200 when the host may serve limited work, else 503 with the reason.
func (h *Host) healthz(w http.ResponseWriter, _ *http.Request) {
	_, _, draining := h.Entry.Load()
	state := struct {
		Serving  bool `json:"serving"`
		Supplied bool `json:"supplied"`
		Loaded   bool `json:"loaded"`
		Draining bool `json:"draining"`
		Revision int  `json:"revision"`
	}{h.Member.Lease().Serving(time.Now()), h.Member.CanSpendLimits(), h.Feed.Loaded(), draining, int(h.Feed.Snapshot().Revision)}
	w.Header().Set("Content-Type", "application/json")
	if !state.Serving || !state.Supplied || !state.Loaded {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(state)
}
