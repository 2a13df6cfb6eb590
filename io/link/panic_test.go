package link_test

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/wire"
	"jayshift/io/link"
)

func newMesh(t *testing.T, name string, handle func(context.Context, wire.Hello, wire.Frame) *wire.Frame) (mesh *link.Mesh, address string) {
	t.Helper()
	mesh = link.New(link.Deps{
		Hello: func() wire.Hello { return wire.Hello{Host: name, Incarnation: 1} }, Handle: handle, Scheme: "ws",
		HTTPClient: func() *http.Client { return http.DefaultClient }, Log: slog.New(slog.DiscardHandler),
	})
	server := httptest.NewServer(mesh)
	t.Cleanup(server.Close)
	t.Cleanup(mesh.Close)
	return mesh, strings.TrimPrefix(server.URL, "http://")
}

// TestPanicClosesTheLink checks that a frame whose handling panics costs the link that it came over, which opens again, and
// not the process.
func TestPanicClosesTheLink(t *testing.T) {
	is := is.New(t)
	var handled atomic.Int64
	_, address := newMesh(t, "b", func(_ context.Context, _ wire.Hello, f wire.Frame) *wire.Frame {
		if f.Strike != nil {
			panic("malformed")
		}
		handled.Add(1)
		return nil
	})
	a, _ := newMesh(t, "a", func(context.Context, wire.Hello, wire.Frame) *wire.Frame { return nil })
	a.SetPeers(map[ident.Host]string{"b": address})
	send := func(f wire.Frame) {
		for end := time.Now().Add(3 * time.Second); a.Send("b", f) != nil; time.Sleep(10 * time.Millisecond) {
			is.True(time.Now().Before(end))
		}
	}
	send(wire.Frame{Strike: &wire.Strike{}})
	for end := time.Now().Add(3 * time.Second); handled.Load() == 0; time.Sleep(20 * time.Millisecond) {
		is.True(time.Now().Before(end))
		send(wire.Frame{Trip: &wire.Trip{}})
	}
}
