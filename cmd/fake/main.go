// Command fake runs a fake of the platform's store or of a backend server, for tests and manual trials.
package main

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/alecthomas/kong"

	"jayshift/internal/fake"
)

type storeCommand struct {
	Listen string `default:"127.0.0.1:7000" help:"Listen address of the store's JSON gateway; POST /faults sets simulated faults."`
}

// Run serves a fake store over HTTP. POST /faults replaces its simulated faults by those in the JSON body.
func (c *storeCommand) Run() error {
	s := fake.NewStore()
	mux := http.NewServeMux()
	mux.Handle("/v3/", s)
	mux.HandleFunc("POST /faults", func(w http.ResponseWriter, r *http.Request) {
		var f fake.Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	return http.ListenAndServe(c.Listen, mux)
}

type backendCommand struct {
	Listen  string        `default:"127.0.0.1:8080"`
	Name    string        `default:"backend"`
	Slots   int           `default:"6"`
	Latency time.Duration `default:"5ms"`
	Cold    time.Duration `help:"Time after the start during which responses are slow."`
	Control string        `help:"Listen address of the control endpoints GET /seen and POST /behaviour." default:"127.0.0.1:0"`
}

// Run serves a fake backend server. On the control address, GET /seen returns its statistics and POST /behaviour
// changes the fields of its behaviour that the JSON body contains.
func (c *backendCommand) Run() error {
	b, err := fake.NewBackend(c.Name, c.Listen, fake.Behaviour{Slots: c.Slots, Latency: c.Latency, ColdFor: c.Cold, Shed: true})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /seen", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(b.Stats()) })
	mux.HandleFunc("POST /behaviour", func(_ http.ResponseWriter, r *http.Request) {
		b.UpdateBehaviour(func(behaviour *fake.Behaviour) { _ = json.NewDecoder(r.Body).Decode(behaviour) })
	})
	return http.ListenAndServe(c.Control, mux)
}

func main() {
	var c struct {
		Store   storeCommand   `cmd:"" help:"Run a stand-in store."`
		Backend backendCommand `cmd:"" help:"Run a stand-in backend server."`
	}
	parsed := kong.Parse(&c, kong.Name("fake"))
	parsed.FatalIfErrorf(parsed.Run())
}
