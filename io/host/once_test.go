package host_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
)

func write(key, runKey string) call {
	return call{method: http.MethodPost, path: "/whistle/write/" + runKey, key: key, runKey: runKey, body: runKey}
}

// runsOf returns how many times the backend servers ran a work.
func runsOf(f *fleet.Fleet, work string) int {
	runs, _, _ := f.Totals()
	return runs[work]
}

// setAll changes how all backend servers act.
func setAll(f *fleet.Fleet, change func(*fake.Behaviour)) {
	for _, b := range f.Backends {
		b.UpdateBehaviour(change)
	}
}

// TestResendGivesTheSameAnswer sends a request again, with its idempotency key, through every entry.
func TestResendGivesTheSameAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	first := write(key, "claim-1").send(http.DefaultClient, f.Entries()[0])
	is.Equal(first.status, http.StatusOK)
	for _, entry := range f.Entries() {
		again := write(key, "claim-1").send(http.DefaultClient, entry)
		is.Equal(again.status, http.StatusOK)
		is.Equal(again.body, first.body)
		is.Equal(again.header.Get("Jayshift-Replayed"), "true")
	}
	is.Equal(runsOf(f, "claim-1"), 1)
}

// TestRunsOutliveStoppedHosts stops two of four hosts after a run, one after the other: their records are handed over,
// so the resend gets the answer, and new runs start.
func TestRunsOutliveStoppedHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := one("v1")
	o.Hosts = 4
	f, key, _ := start(t, o)
	for i := range 10 {
		is.Equal(write(key, fmt.Sprintf("claim-%d", i)).send(http.DefaultClient, f.Entries()[0]).status, http.StatusOK)
	}
	for _, i := range []int{0, 1} {
		is.NoErr(f.Hosts[i].Stop())
		eventually(t, "the seat is given up", func() bool { return len(f.Hosts[3].Member.Table().Seats) == 3-i })
	}
	for i := range 10 {
		work := fmt.Sprintf("claim-%d", i)
		again := write(key, work).send(http.DefaultClient, f.Entries()[2])
		is.Equal(again.status, http.StatusOK)
		is.Equal(again.header.Get("Jayshift-Replayed"), "true")
		is.Equal(runsOf(f, work), 1)
	}
	eventually(t, "new runs start", func() bool {
		return write(key, "claim-new").send(http.DefaultClient, f.Entries()[3]).status == http.StatusOK
	})
}

// TestSimultaneousSendsRunOnce sends one request through all entries at once.
func TestSimultaneousSendsRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	for i := range 20 {
		work := fmt.Sprintf("claim-%d", i)
		var wait sync.WaitGroup
		for _, entry := range f.Entries() {
			for range 2 {
				wait.Go(func() { write(key, work).send(http.DefaultClient, entry) })
			}
		}
		wait.Wait()
		is.True(runsOf(f, work) <= 1)
	}
}

// TestBackendDiesDuringRun kills the backend server in the middle of a run; resends never run it again.
func TestBackendDiesDuringRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	setAll(f, func(b *fake.Behaviour) { b.Latency = 500 * time.Millisecond })
	done := make(chan answer, 1)
	go func() { done <- write(key, "claim-1").send(http.DefaultClient, f.Entries()[0]) }()
	eventually(t, "the run starts", func() bool { return runsOf(f, "claim-1") == 1 })
	for _, b := range f.Backends {
		if b.Stats().Runs["claim-1"] > 0 {
			b.Close()
		}
	}
	got := <-done
	is.True(got.status != http.StatusOK)
	is.True(!got.notRun()) // it may have run, so "not run" would be untrue
	for _, entry := range f.Entries() {
		again := write(key, "claim-1").send(http.DefaultClient, entry)
		is.Equal(again.status, http.StatusConflict)
		is.True(!again.notRun())
	}
	is.Equal(runsOf(f, "claim-1"), 1)
}

// TestEntryDiesDuringRun kills the entry in the middle of a run; resends through the others never run it again.
func TestEntryDiesDuringRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	setAll(f, func(b *fake.Behaviour) { b.Latency = 500 * time.Millisecond })
	go write(key, "claim-1").send(&http.Client{}, f.Entries()[0])
	eventually(t, "the run starts", func() bool { return runsOf(f, "claim-1") == 1 })
	f.Hosts[0].Kill()
	for range 20 {
		for _, entry := range f.Entries()[1:] {
			again := write(key, "claim-1").send(http.DefaultClient, entry)
			is.True(again.status != http.StatusOK)
		}
		time.Sleep(100 * time.Millisecond)
	}
	is.Equal(runsOf(f, "claim-1"), 1)
}

// TestCallerGoesDuringRun closes the caller's connection in the middle of a run; the resend gets the run's answer.
func TestCallerGoesDuringRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	setAll(f, func(b *fake.Behaviour) { b.Latency = 300 * time.Millisecond })
	impatient := &http.Client{Timeout: 100 * time.Millisecond}
	is.True(write(key, "claim-1").send(impatient, f.Entries()[0]).err != nil)
	eventually(t, "the resend gets the answer", func() bool {
		return write(key, "claim-1").send(http.DefaultClient, f.Entries()[1]).status == http.StatusOK
	})
	is.Equal(runsOf(f, "claim-1"), 1)
}

// TestNotRunIsTrue sheds everything and kills backend servers under load, and holds every "not run" against their record.
func TestNotRunIsTrue(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	setAll(f, func(b *fake.Behaviour) { b.Latency = 30 * time.Millisecond; b.Slots = 2 })
	var mu sync.Mutex
	notRun := map[string]bool{}
	var wait sync.WaitGroup
	for i := range 300 {
		if i == 150 {
			for _, b := range f.Backends {
				b.Close()
				break
			}
		}
		work := fmt.Sprintf("claim-%d", i)
		wait.Go(func() {
			got := write(key, work).send(http.DefaultClient, f.Entries()[i%len(f.Entries())])
			mu.Lock()
			defer mu.Unlock()
			notRun[work] = got.notRun()
		})
		time.Sleep(2 * time.Millisecond)
	}
	wait.Wait()
	runs, _, _ := f.Totals()
	refused := 0
	for work, said := range notRun {
		is.True(runs[work] <= 1)
		if said {
			refused++
			is.Equal(runs[work], 0)
		}
	}
	is.True(refused > 0) // the load did lead to refusals
}

// TestTransportDoesNotResend breaks an idle connection under a request with an idempotency key and no body.
func TestTransportDoesNotResend(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	var mu sync.Mutex
	writes := 0
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if r.Method == http.MethodPost {
						mu.Lock()
						writes++
						mu.Unlock()
						return // takes the request and breaks the connection
					}
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				}
			}()
		}
	}()
	f, key, _ := start(t, fleet.Options{Hosts: 1, Regions: 1, Services: []fleet.Service{
		{Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 0, Behaviour: act(4)},
	}}, wire.Resource{Kind: "backend-server", Name: "raw", BackendServer: &wire.BackendServer{
		Service: "whistle", Version: "v1", AvailabilityZone: "zone-1a", Address: l.Addr().String(), Slots: 1,
	}})
	eventually(t, "the backend server answers", func() bool {
		return read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0]).status == http.StatusOK
	})
	c := write(key, "claim-1")
	c.body = ""
	got := c.send(http.DefaultClient, f.Entries()[0])
	is.True(got.status >= http.StatusInternalServerError)
	is.True(!got.notRun())
	mu.Lock()
	defer mu.Unlock()
	is.Equal(writes, 1)
}

// TestPoisonRequest sends a request that crashes whatever runs it through every entry, again and again.
func TestPoisonRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	o := one("v1")
	o.Services[0].BackendsPerVersion = 6
	f, key, _ := start(t, o)
	var last answer
	for i := range 9 {
		last = read(key, "/whistle/crash/1").send(http.DefaultClient, f.Entries()[i%len(f.Entries())])
		is.True(last.status != http.StatusOK)
	}
	is.Equal(last.status, http.StatusUnprocessableEntity)
	is.True(strings.Contains(last.body, "poison-request"))
	dead := 0
	for _, b := range f.Backends {
		if _, err := net.DialTimeout("tcp", b.Address, time.Second); err != nil {
			dead++
		}
	}
	is.True(dead <= 2) // at most two backend servers are lost
	eventually(t, "other requests of the team go on", func() bool {
		return read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0]).status == http.StatusOK
	})
}

// TestSilenceIsNoStrike lets backend servers go silent and out of reach while they run a request, as a cut does:
// that shows no crash, so the request is not refused as poison.
func TestSilenceIsNoStrike(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	var list []wire.Resource
	for i := range 8 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/health" {
				_, _ = io.WriteString(w, `{"status":"ok"}`)
				return
			}
			_ = l.Close() // the connection stays, new ones are refused
			<-r.Context().Done()
		})}
		go func() { _ = server.Serve(l) }()
		t.Cleanup(func() { _ = server.Close() })
		list = append(list, wire.Resource{Kind: "backend-server", Name: fmt.Sprintf("silent-%d", i), BackendServer: &wire.BackendServer{
			Service: "whistle", Version: "v1", AvailabilityZone: "zone-1a", Address: l.Addr().String(), Slots: 1,
		}})
	}
	f, key, _ := start(t, fleet.Options{Hosts: 1, Regions: 1, Services: []fleet.Service{
		{Name: "whistle", Versions: []string{"v1"}, Behaviour: act(1), DeadlineMs: 800},
	}}, list...)
	for range 8 {
		got := read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0])
		is.True(got.status >= http.StatusInternalServerError) // no answer, but no verdict against the request either
	}
}

// TestRetryBudget lets every backend server shed: the requests that reach them stay within the budget.
func TestRetryBudget(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"))
	setAll(f, func(b *fake.Behaviour) { b.Slots = 0 })
	const sent = 200
	for i := range sent {
		got := read(key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[i%len(f.Entries())])
		is.Equal(got.status, http.StatusServiceUnavailable)
		is.True(got.header.Get("Retry-After") != "")
	}
	shed := 0
	for _, b := range f.Backends {
		shed += b.Stats().Shed
	}
	// A tenth of the first attempts, and what each of the three hosts had saved.
	is.True(shed <= sent+sent/10+3*5)
}

// TestOnlyTheTeamOfTheKey asks with no key, a wrong key and a key outside the shift.
func TestOnlyTheTeamOfTheKey(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, key, _ := start(t, one("v1"), wire.Resource{Kind: "team", Name: "south", Team: &wire.Team{Rate: 100, Burst: 100}},
		wire.Resource{Kind: "shift", Name: "strike", Shift: &wire.Shift{Services: []string{"whistle"}, Teams: []string{"south"}}})
	south, _, err := f.Grant(context.Background(), "south")
	is.NoErr(err)
	for _, c := range []struct {
		key    string
		status int
	}{{"", http.StatusUnauthorized}, {"wrong", http.StatusUnauthorized}, {key, http.StatusForbidden}, {south, http.StatusOK}} {
		got := read(c.key, "/whistle/read/1").send(http.DefaultClient, f.Entries()[0])
		is.Equal(got.status, c.status)
		is.Equal(got.notRun(), c.status != http.StatusOK)
	}
}
