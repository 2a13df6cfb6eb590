package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/io/client"
)

const patience = 30 * time.Second

// process is one started program.
type process struct {
	cmd *exec.Cmd
	out bytes.Buffer
}

func build(t *testing.T) (jayshift, standIn string) {
	t.Helper()
	dir := t.TempDir()
	for _, name := range []string{"jayshift", "fake"} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(dir, name), "jayshift/cmd/"+name).CombinedOutput()
		if err != nil {
			t.Fatalf("build %s: %s", name, out)
		}
	}
	return filepath.Join(dir, "jayshift"), filepath.Join(dir, "fake")
}

func launch(t *testing.T, program string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(program, args...)}
	p.cmd.Stdout, p.cmd.Stderr = &p.out, &p.out
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
		if t.Failed() {
			t.Logf("%s: %s", args, p.out.String())
		}
	})
	return p
}

// freeAddress returns an address that was free a moment ago.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("did not happen: %s", what)
}

func get(url, key string) (int, string) {
	r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func write(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// entry is a started entry host.
type entry struct {
	*process
	caller, operator, admin string
}

// startEntry starts the i-th entry host, each in an availability zone of its own, and waits until it serves.
func startEntry(t *testing.T, jayshift, dir, store string, i int) entry {
	t.Helper()
	e := entry{caller: freeAddress(t), operator: freeAddress(t), admin: freeAddress(t)}
	path := write(t, dir, fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(
		"[host]\nname=entry-%d\navailability-zone=graz-%d\nregion=styria\n[listen]\ncaller=%s\noperator=%s\nlink=%s\nadmin=%s\n[store]\naddress=%s\n",
		i, i, e.caller, e.operator, freeAddress(t), e.admin, store))
	e.process = launch(t, jayshift, "entry", "--config", path)
	return e
}

func (e entry) serves() bool {
	code, _ := get("http://"+e.admin+"/healthz", "")
	return code == http.StatusOK
}

// voters counts the hosts whose acknowledgements count.
func (e entry) voters() int {
	_, text := get("http://"+e.operator+"/v1/hosts", "")
	return strings.Count(text, `"voter":true`)
}

// TestWholePathInProcesses serves a request through real processes, kills one entry and goes on through the other.
func TestWholePathInProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	jayshift, standIn := build(t)
	dir := t.TempDir()
	store, backend := freeAddress(t), freeAddress(t)
	launch(t, standIn, "store", "--listen", store)
	launch(t, standIn, "backend", "--listen", backend, "--name", "b1")
	entries := []entry{startEntry(t, jayshift, dir, store, 0), startEntry(t, jayshift, dir, store, 1)}
	for _, e := range entries {
		eventually(t, "entry serves", e.serves)
	}

	shift := write(t, dir, "shift.ini", "[region styria]\n[availability-zone graz-0]\nregion=styria\n[service whistle]\nprefix=/whistle\ndeadline-ms=3000\n"+
		"[backend-server b1]\nservice=whistle\nversion=v1\navailability-zone=graz-0\naddress="+backend+"\nslots=4\n"+
		"[team north]\nrate=1000\nburst=100\n[shift strike]\nservices=whistle\nteams=north\ncap=1000\ncap-burst=100\n")
	out, err := exec.Command(jayshift, "--operator", entries[0].operator, "apply", shift).CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(out), "state=in-force"))
	out, err = exec.Command(jayshift, "--operator", entries[1].operator, "key", "grant", "north").CombinedOutput()
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(out), "key=")
	key, _, _ := strings.Cut(rest, "\n")

	var code int
	var body string
	// While the fleet forms, parts of the limits change hands; a request may be told truly that it was not run, and to come back.
	eventually(t, "the request is run", func() bool {
		code, body = get("http://"+entries[0].caller+"/whistle/read/1", key)
		return !strings.Contains(body, `"not-run":true`)
	})
	is.Equal(code, http.StatusOK)
	is.Equal(body, "GET /whistle/read/1\n")
	code, _ = get("http://"+entries[1].caller+"/whistle/read/2", "wrong")
	is.Equal(code, http.StatusUnauthorized)
	eventually(t, "steering names both entries", func() bool {
		_, text := get("http://"+entries[0].caller+"/v1/steer", "")
		return strings.Contains(text, entries[0].caller) && strings.Contains(text, entries[1].caller)
	})
	eventually(t, "both entries are voters", func() bool { return entries[1].voters() == 2 })

	is.NoErr(entries[0].cmd.Process.Signal(syscall.SIGKILL))
	eventually(t, "the other entry serves", func() bool {
		code, _ := get("http://"+entries[1].caller+"/whistle/read/3", key)
		return code == http.StatusOK
	})
	eventually(t, "steering leaves the killed entry out", func() bool {
		_, text := get("http://"+entries[1].caller+"/v1/steer", "")
		return !strings.Contains(text, entries[0].caller)
	})
	is.NoErr(entries[1].cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(entries[1].cmd.Wait())
}

// TestPausedHostStopsServing floods a team's limit while one host is paused for longer than it takes to give its
// partitions to others, and goes on with the host when it wakes. What backend servers started is held against the
// exact central limiter.
func TestPausedHostStopsServing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate, burst = 50.0, 20.0
	jayshift, _ := build(t)
	dir := t.TempDir()
	store, closeStore, err := fake.ServeStore(fake.NewStore(), "127.0.0.1:0")
	is.NoErr(err)
	defer closeStore()
	l := fake.NewRateChecker(rate, burst)
	backend, err := fake.NewBackend("b1", "127.0.0.1:0", fake.Behaviour{Slots: 100, OnStart: func() { l.Record(time.Now()) }})
	is.NoErr(err)
	defer backend.Close()
	var entries []entry
	for i := range 3 {
		entries = append(entries, startEntry(t, jayshift, dir, store, i))
	}
	eventually(t, "all entries are voters", func() bool { return entries[0].voters() == 3 })
	ctx := context.Background()
	operator := client.New(entries[0].operator, "")
	_, err = operator.Apply(ctx, []wire.Resource{
		{Kind: "region", Name: "styria", Region: &wire.Region{}},
		{Kind: "availability-zone", Name: "graz-0", AvailabilityZone: &wire.AvailabilityZone{Region: "styria"}},
		{Kind: "service", Name: "whistle", Service: &wire.Service{Prefix: "/whistle", DeadlineMs: 1000}},
		{Kind: "team", Name: "north", Team: &wire.Team{Rate: rate, Burst: burst}},
		{Kind: "backend-server", Name: "b1", BackendServer: &wire.BackendServer{
			Service: "whistle", Version: "v1", AvailabilityZone: "graz-0", Address: backend.Address, Slots: 100,
		}},
	})
	is.NoErr(err)
	granted, err := operator.Grant(ctx, "north", "")
	is.NoErr(err)
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for i := range 9 {
		wait.Go(func() { flood("http://"+entries[i%3].caller+"/whistle/read/1", granted.Key, stop) })
	}
	time.Sleep(2 * time.Second)
	paused := time.Now()
	is.NoErr(entries[2].cmd.Process.Signal(syscall.SIGSTOP))
	eventually(t, "the paused host's seat is given away", func() bool {
		_, text := get("http://"+entries[0].operator+"/v1/hosts", "")
		return !strings.Contains(text, "entry-2")
	})
	time.Sleep(3 * time.Second)
	woken := time.Now()
	is.NoErr(entries[2].cmd.Process.Signal(syscall.SIGCONT))
	eventually(t, "the host that woke takes a seat again", entries[2].serves)
	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()
	over, admitted := l.Excess()
	t.Logf("%d started, at most %.3f beyond the limit", admitted, over)
	for _, at := range l.ExcessTimes() {
		t.Logf("excess grew %s after the pause, %s after the wake", at.Sub(paused), at.Sub(woken))
	}
	is.True(over <= 0)
	is.True(admitted > 300)
}

// flood sends requests until the stop is closed; a paused host costs it a second each.
func flood(url, key string, stop chan struct{}) {
	impatient := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+key)
		if response, err := impatient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}

// TestWrongSettings lists every fault with its line and exits with code 2.
func TestWrongSettings(t *testing.T) {
	is := is.New(t)
	jayshift, _ := build(t)
	path := write(t, t.TempDir(), "bad.ini", "[host]\nname=Entry One\ncolour=red\n[fleet]\nrenewal=3s\n")
	out, err := exec.Command(jayshift, "entry", "--config", path).CombinedOutput()
	var exit *exec.ExitError
	is.True(asExit(err, &exit))
	is.Equal(exit.ExitCode(), 2)
	for _, want := range []string{"line 2: host.name", "line 3: host.colour", "line 5: fleet.renewal", "host.region is required"} {
		is.True(strings.Contains(string(out), want)) // every fault is listed
	}
}

func asExit(err error, target **exec.ExitError) bool {
	exit, ok := err.(*exec.ExitError)
	*target = exit
	return ok
}
