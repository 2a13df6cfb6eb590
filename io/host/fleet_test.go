package host_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

const patience = 60 * time.Second

// act is a plain backend server's behaviour.
func act(slots int) fake.Behaviour {
	return fake.Behaviour{Slots: slots, Latency: 5 * time.Millisecond, Shed: true}
}

// start starts a fleet with one team and its key.
func start(t *testing.T, o fleet.Options, more ...wire.Resource) (f *fleet.Fleet, key, keyName string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	t.Cleanup(cancel)
	f, err := fleet.Start(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	list := append(f.Resources(), wire.Resource{Kind: "team", Name: "north", Team: &wire.Team{Rate: 5000, Burst: 1000}})
	if err := f.Apply(ctx, append(list, more...)); err != nil {
		t.Fatal(err)
	}
	key, keyName, err = f.Grant(ctx, "north")
	if err != nil {
		t.Fatal(err)
	}
	return f, key, keyName
}

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

// notRun tells whether the answer says that the request was not run.
func (a answer) notRun() bool { return a.header.Get("Jayshift-Not-Run") == "true" }

// call is one request of a caller.
type call struct {
	method, path, key, runKey, body string
}

func (c call) send(client *http.Client, entry string) answer {
	r, err := http.NewRequestWithContext(context.Background(), c.method, "http://"+entry+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	if c.runKey != "" {
		r.Header.Set("Idempotency-Key", c.runKey)
		r.Header.Set(fake.WorkHeader, c.runKey)
	}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

func read(key, path string) call { return call{method: http.MethodGet, path: path, key: key} }

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("did not happen: %s", what)
}

func one(versions ...string) fleet.Options {
	return fleet.Options{Hosts: 3, Regions: 3, Services: []fleet.Service{
		{Name: "whistle", Versions: versions, BackendsPerVersion: 3, Behaviour: act(6), DeadlineMs: 3000},
	}}
}
