package edge_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/place"
	"jayshift/core/poison"
	"jayshift/core/quota"
	"jayshift/core/roster"
	"jayshift/core/table"
	"jayshift/io/conns"
	"jayshift/io/edge"
	"jayshift/io/httpd"
	"jayshift/io/rates"
)

var dialect = edge.Dialect{
	RequestID: "Request-Id", Deadline: "Left-Ms", Object: "Object", Team: "Team", Expect: "Expect-Server",
	Signature: "Signature", NotRun: "Not-Run", Load: "Load", Private: []string{"Key"},
	ParseLoad: func(string) (place.Load, bool) { return place.Load{}, false },
	Key:       func(h http.Header) string { return h.Get("Key") },
}

// backend is a stand-in for a backend server; act decides what it does with a request.
type backend struct {
	id   string
	act  http.HandlerFunc
	mu   sync.Mutex
	runs int
	last http.Header
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	b.runs++
	b.last = r.Header.Clone()
	b.mu.Unlock()
	w.Header().Set(dialect.RequestID, r.Header.Get(dialect.RequestID))
	b.act(w, r)
}

func (b *backend) ran() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// Acts of backend servers.
func good(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set(dialect.Signature, "s")
	_, _ = fmt.Fprintf(w, "%s %s", r.RequestURI, body)
}

func fails(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dialect.Signature, "s")
	w.WriteHeader(http.StatusInternalServerError)
}

func sheds(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dialect.NotRun, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func breaks(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	panic(http.ErrAbortHandler)
}

func truncates(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dialect.Signature, "s")
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
}

func another(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }

func unsigned(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "whose?") }

func encoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(dialect.Signature, "s")
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = io.WriteString(w, "xx")
}

func silent(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the end of the connection is noticed only behind the body
	<-r.Context().Done()
}

// rig is an edge with its backend servers.
type rig struct {
	edge     *edge.Edge
	table    *table.Table
	quota    *quota.Limiter
	backends []*backend
	gone     []roster.Server
}

const timeout = 800 * time.Millisecond

func newRig(t *testing.T, acts ...http.HandlerFunc) *rig {
	t.Helper()
	r := &rig{quota: quota.New(time.Second, 2*time.Second, 0)}
	r.quota.SetPeers(time.Now(), nil)
	r.quota.SetRates(time.Now(), map[ident.Team]quota.Rate{"north": {}, "tiny": {PerSecond: 0.001, Burst: 1}})
	r.table = table.New(table.Config{
		Version: 1, Limits: table.Limits{MaxBodyBytes: 1000},
		Routes: []table.Route{
			{Name: "read", Host: "h", Prefix: "/read/", Kind: table.Safe, Timeout: timeout, LatencyTarget: 20 * time.Millisecond, MaxAttempts: 2, Services: []table.WeightedService{{Service: "a", Weight: 1}}},
			{Name: "write", Host: "h", Prefix: "/write/", Timeout: timeout, LatencyTarget: 20 * time.Millisecond, MaxAttempts: 2, Services: []table.WeightedService{{Service: "a", Weight: 1}}},
			{Name: "open", Host: "h", Prefix: "/open/", Open: true, Timeout: timeout, MaxAttempts: 1, Services: []table.WeightedService{{Service: "a", Weight: 1}}},
			{Name: "empty", Host: "h", Prefix: "/empty/", Timeout: timeout, MaxAttempts: 1, Services: []table.WeightedService{{Service: "nobody", Weight: 1}}},
		},
		Teams: []table.Team{{Name: "north", Keys: []string{"k"}}, {Name: "tiny", Keys: []string{"t"}, Rate: 0.001, Burst: 1}},
	})
	board := place.New(place.Settings{
		Location: place.Location{Zone: "z", Region: "r"}, Weights: place.DefaultWeights(),
		WarmsUp: func(ident.BackendServer) bool { return true }, Random: func(int64) int64 { return 0 },
	})
	var entries []roster.Entry
	for i, act := range acts {
		b := &backend{id: fmt.Sprintf("s%d", i), act: act}
		server := httptest.NewServer(b)
		t.Cleanup(server.Close)
		t.Cleanup(server.CloseClientConnections)
		r.backends = append(r.backends, b)
		// Later servers stand in other zones, so that they are tried in order.
		zone := ident.AvailabilityZone("z" + strings.Repeat("x", i))
		entries = append(entries, roster.Entry{Server: roster.Server{
			ID: ident.BackendServer(b.id), Service: "a", Address: server.Listener.Addr().String(), Zone: zone, Region: "r", Slots: 4,
		}})
	}
	board.Update(entries, func(ident.Service) float64 { return 0 })
	r.edge = edge.New(edge.Seams{
		Dialect: dialect, Log: slog.New(slog.DiscardHandler), Table: func() *table.Table { return r.table }, Board: board,
		Pool: conns.New(dialect.RequestID), Rates: rates.New(rates.Deps{Self: "a", Quota: r.quota, RegionPeers: func() []ident.Host { return nil }, Now: time.Now}), Poison: poison.New(), BudgetShare: 1, BudgetSlack: 100,
		Hosts: func() int { return 1 }, Version: func(ident.Service) ident.Version { return "" },
		Judge:  func(roster.Server, ident.Route, bool, float64) {},
		Strike: func(poison.Fingerprint, ident.BackendServer) {}, Leaving: func() bool { return false },
		Gone: func(s roster.Server) { r.gone = append(r.gone, s) }, Count: func(edge.Sample) {},
	})
	return r
}

func (r *rig) send(method, path, key, body string) *httpd.Response {
	q := httptest.NewRequest(method, path, strings.NewReader(body))
	q.Host = "h"
	q.Header.Set(dialect.RequestID, "id-1")
	q.Header.Set(dialect.Team, "forged")
	if key != "" {
		q.Header.Set("Key", key)
	}
	return r.edge.Serve(context.Background(), q)
}

// TestAdmission refuses what may not run, before any server sees it.
func TestAdmission(t *testing.T) {
	for name, c := range map[string]struct {
		path, key, body string
		status          int
		again           bool // says when to come back
	}{
		"served":         {"/write/1", "k", "", http.StatusOK, false},
		"no route":       {"/other", "k", "", http.StatusNotFound, false},
		"no key":         {"/write/1", "", "", http.StatusUnauthorized, false},
		"unknown key":    {"/write/1", "x", "", http.StatusUnauthorized, false},
		"open route":     {"/open/1", "", "", http.StatusOK, false},
		"body too large": {"/write/1", "k", strings.Repeat("x", 2000), http.StatusRequestEntityTooLarge, false},
		"no server":      {"/empty/1", "k", "", http.StatusServiceUnavailable, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRig(t, good)
			reply := r.send(http.MethodPost, c.path, c.key, c.body)
			is.Equal(reply.Status, c.status)
			is.Equal(reply.Header.Get("Retry-After") != "", c.again)
			is.Equal(r.backends[0].ran() == 1, c.status == http.StatusOK)
		})
	}
}

func TestNoConfiguration(t *testing.T) {
	is := is.New(t)
	r := newRig(t, good)
	r.table = nil
	is.Equal(r.send(http.MethodGet, "/read/1", "k", "").Status, http.StatusServiceUnavailable)
}

func TestTeamRate(t *testing.T) {
	is := is.New(t)
	r := newRig(t, good)
	statuses := map[int]int{}
	for range 5 {
		statuses[r.send(http.MethodPost, "/write/1", "t", "").Status]++
	}
	is.True(statuses[http.StatusOK] <= 1)
	is.True(statuses[http.StatusTooManyRequests] >= 4)
}

// TestAttempts plays what servers do with a request, the nearest first, and checks what the caller gets and who ran it.
func TestAttempts(t *testing.T) {
	type acts = []http.HandlerFunc
	for name, c := range map[string]struct {
		path   string
		acts   acts
		status int
		runs   []int
	}{
		"safe, broken, then good":              {"/read/1", acts{breaks, good}, 200, []int{1, 1}},
		"safe, truncated, then good":           {"/read/1", acts{truncates, good}, 200, []int{1, 1}},
		"safe, fails, then good":               {"/read/1", acts{fails, good}, 200, []int{1, 1}},
		"safe, unsigned, then good":            {"/read/1", acts{unsigned, good}, 200, []int{1, 1}},
		"safe, encoded, then good":             {"/read/1", acts{encoded, good}, 200, []int{1, 1}},
		"safe, silent, then good beside it":    {"/read/1", acts{silent, good}, 200, []int{1, 1}},
		"safe, fails twice: at most two tries": {"/read/1", acts{fails, fails, good}, 500, []int{1, 1, 0}},
		"safe, broken, then fails":             {"/read/1", acts{breaks, fails}, 500, []int{1, 1}},
		"safe, broken twice":                   {"/read/1", acts{breaks, breaks}, 502, []int{1, 1}},
		"unsafe, shed, then good":              {"/write/1", acts{sheds, good}, 200, []int{1, 1}},
		"unsafe, misdirected, then good":       {"/write/1", acts{another, good}, 200, []int{1, 1}},
		"unsafe, shed twice: not run":          {"/write/1", acts{sheds, sheds, good}, 503, []int{1, 1, 0}},
		"unsafe, broken: may have run":         {"/write/1", acts{breaks, good}, 502, []int{1, 0}},
		"unsafe, truncated: has run":           {"/write/1", acts{truncates, good}, 502, []int{1, 0}},
		"unsafe, fails: has run":               {"/write/1", acts{fails, good}, 500, []int{1, 0}},
		"unsafe, silent: may have run":         {"/write/1", acts{silent, good}, 504, []int{1, 0}},
		"unsafe, unsigned: may have run":       {"/write/1", acts{unsigned, good}, 502, []int{1, 0}},
		"unsafe, shed, then broken":            {"/write/1", acts{sheds, breaks}, 502, []int{1, 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRig(t, c.acts...)
			started := time.Now()
			reply := r.send(http.MethodPost, c.path, "k", "body")
			is.Equal(reply.Status, c.status)
			is.True(time.Since(started) < timeout+250*time.Millisecond) // within the route's time
			var runs []int
			for _, b := range r.backends {
				runs = append(runs, b.ran())
			}
			is.Equal(runs, c.runs)
			signed := reply.Header.Get(dialect.Signature) != ""
			is.Equal(signed, c.status == 200 || c.status == 500) // only a server's own answer is signed
		})
	}
}

// TestWhatServersSee checks the headers that are set, kept and removed.
func TestWhatServersSee(t *testing.T) {
	is := is.New(t)
	r := newRig(t, good)
	q := httptest.NewRequest(http.MethodGet, "/read/a%2fb?x=%20y", nil)
	q.Host = "h"
	for name, value := range map[string]string{
		dialect.RequestID: "id-1", "Key": "k", dialect.Team: "forged", dialect.Expect: "forged", dialect.Deadline: "300",
		"Kept": "yes", "Connection": "Hop", "Hop": "x", "Keep-Alive": "x",
	} {
		q.Header.Set(name, value)
	}
	reply := r.edge.Serve(context.Background(), q)
	is.Equal(string(reply.Body), "/read/a%2fb?x=%20y ")
	seen := r.backends[0].last
	is.Equal(seen.Get(dialect.RequestID), "id-1")
	is.Equal(seen.Get("Kept"), "yes")
	is.Equal(seen.Get(dialect.Team), "north")
	is.Equal(seen.Get(dialect.Expect), "s0")
	for _, gone := range []string{"Key", "Hop", "Keep-Alive", "Connection"} {
		is.Equal(seen.Get(gone), "")
	}
	left, err := strconv.Atoi(seen.Get(dialect.Deadline))
	is.NoErr(err)
	is.True(left > 0 && left <= 300)
}

// TestUnreachable tries another server when a connection does not come about, whatever the request.
func TestUnreachable(t *testing.T) {
	is := is.New(t)
	r := newRig(t, good, good)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	board := place.New(place.Settings{Location: place.Location{Zone: "z", Region: "r"}, Weights: place.DefaultWeights(), WarmsUp: func(ident.BackendServer) bool { return true }})
	board.Update([]roster.Entry{{Server: roster.Server{ID: "dead", Service: "a", Address: l.Addr().String(), Zone: "z", Region: "r", Slots: 4}}}, func(ident.Service) float64 { return 0 })
	ticket, no := board.Pick(time.Now(), place.Query{Service: "a", Deadline: time.Now().Add(time.Second)})
	is.True(no == nil)
	ticket.Release(time.Now(), place.Outcome{Result: place.Unreachable})
	is.Equal(r.send(http.MethodPost, "/write/1", "k", "").Status, http.StatusOK)
}

// TestCallerLeaves ends the work of the server.
func TestCallerLeaves(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	r := newRig(t, func(_ http.ResponseWriter, q *http.Request) {
		close(started)
		<-q.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(context.Background())
	q := httptest.NewRequest(http.MethodGet, "/read/1", nil)
	q.Host = "h"
	q.Header.Set("Key", "k")
	go r.edge.Serve(ctx, q)
	<-started
	leave()
	select {
	case <-ended:
	case <-time.After(timeout / 2):
		t.Fatal("the server went on with its work")
	}
	is.True(true)
}

// TestSplit holds the parts of a route to their weights.
func TestSplit(t *testing.T) {
	is := is.New(t)
	r := newRig(t, good)
	content := r.table.Config
	content.Routes = append([]table.Route{}, content.Routes...)
	content.Routes[1].Services = []table.WeightedService{{Service: "a", Weight: 90}, {Service: "nobody", Weight: 10}}
	r.table = table.New(content)
	served := 0
	for range 200 {
		if r.send(http.MethodPost, "/write/1", "k", "").Status == http.StatusOK {
			served++
		}
	}
	is.Equal(served, 180)
}
