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

const waitTimeout = 30 * time.Second

// process is a started program with its output.
type process struct {
	cmd *exec.Cmd
	out bytes.Buffer
}

// buildPrograms builds the commands jayshift and fake and returns their paths.
func buildPrograms(t *testing.T) (jayshift, fakeProgram string) {
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

// startProcess starts a program that is killed at the end of the test. If the test fails, its output is logged.
func startProcess(t *testing.T, program string, args ...string) *process {
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

// freeAddress returns an address of a port that was free when it was checked; another process may take it before use.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := fake.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// eventually waits until holds returns true, and fails the test after waitTimeout.
func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", condition)
}

// get returns the status code and the body of the response, or 0 and the text of the error.
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

func writeFile(t *testing.T, dir, name, text string) string {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// entryHost is a running entry host with its listen addresses.
type entryHost struct {
	*process
	callerAddress, operatorAddress, adminAddress string
}

// startEntryHost starts the i-th entry host, in the i-th availability zone. It does not wait until the host serves.
func startEntryHost(t *testing.T, jayshift, dir, store string, i int) entryHost {
	t.Helper()
	e := entryHost{callerAddress: freeAddress(t), operatorAddress: freeAddress(t), adminAddress: freeAddress(t)}
	path := writeFile(t, dir, fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(
		"[host]\nname=entry-%d\navailability-zone=graz-%d\nregion=styria\n[listen]\ncaller=%s\noperator=%s\nlink=%s\nadmin=%s\n[store]\naddress=%s\n",
		i, i, e.callerAddress, e.operatorAddress, freeAddress(t), e.adminAddress, store))
	e.process = startProcess(t, jayshift, "entry", "--config", path)
	return e
}

// isHealthy reports whether the host's health check succeeds.
func (e entryHost) isHealthy() bool {
	code, _ := get("http://"+e.adminAddress+"/healthz", "")
	return code == http.StatusOK
}

// voterCount returns the number of hosts whose acknowledgements count towards a majority, as listed by this host.
func (e entryHost) voterCount() int {
	_, text := get("http://"+e.operatorAddress+"/v1/hosts", "")
	return strings.Count(text, `"voter":true`)
}

// TestWholePathInProcesses runs two entry hosts, a store and a backend server as processes and sends requests from end to
// end. After one entry host is killed, the other must still serve requests, and steering must leave the killed one out.
func TestWholePathInProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	jayshift, fakeProgram := buildPrograms(t)
	dir := t.TempDir()
	store, backend := freeAddress(t), freeAddress(t)
	startProcess(t, fakeProgram, "store", "--listen", store)
	startProcess(t, fakeProgram, "backend", "--listen", backend, "--name", "b1")
	entries := []entryHost{startEntryHost(t, jayshift, dir, store, 0), startEntryHost(t, jayshift, dir, store, 1)}
	for _, e := range entries {
		eventually(t, "the entry host is healthy", e.isHealthy)
	}

	shift := writeFile(t, dir, "shift.ini", "[region styria]\n[availability-zone graz-0]\nregion=styria\n[service whistle]\nprefix=/whistle\ndeadline-ms=3000\n"+
		"[backend-server b1]\nservice=whistle\nversion=v1\navailability-zone=graz-0\naddress="+backend+"\nslots=4\n"+
		"[team north]\nrate=1000\nburst=100\n[shift strike]\nservices=whistle\nteams=north\ncap=1000\ncap-burst=100\n")
	out, err := exec.Command(jayshift, "--operator", entries[0].operatorAddress, "apply", shift).CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(out), "state=in-force"))
	out, err = exec.Command(jayshift, "--operator", entries[1].operatorAddress, "key", "grant", "north").CombinedOutput()
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(out), "key=")
	key, _, _ := strings.Cut(rest, "\n")

	var code int
	var body string
	// While hosts join, partitions of the limits are reassigned between them. A request may then be refused as not
	// run, and is to be sent again later.
	eventually(t, "the request is not refused as not run", func() bool {
		code, body = get("http://"+entries[0].callerAddress+"/whistle/read/1", key)
		return !strings.Contains(body, `"not-run":true`)
	})
	is.Equal(code, http.StatusOK)
	is.Equal(body, "GET /whistle/read/1\n")
	code, _ = get("http://"+entries[1].callerAddress+"/whistle/read/2", "wrong")
	is.Equal(code, http.StatusUnauthorized)
	eventually(t, "steering lists both entry hosts", func() bool {
		_, text := get("http://"+entries[0].callerAddress+"/v1/steer", "")
		return strings.Contains(text, entries[0].callerAddress) && strings.Contains(text, entries[1].callerAddress)
	})
	eventually(t, "both entry hosts are voters", func() bool { return entries[1].voterCount() == 2 })

	is.NoErr(entries[0].cmd.Process.Signal(syscall.SIGKILL))
	eventually(t, "the other entry host serves requests", func() bool {
		code, _ := get("http://"+entries[1].callerAddress+"/whistle/read/3", key)
		return code == http.StatusOK
	})
	eventually(t, "steering leaves the killed entry host out", func() bool {
		_, text := get("http://"+entries[1].callerAddress+"/v1/steer", "")
		return !strings.Contains(text, entries[0].callerAddress)
	})
	is.NoErr(entries[1].cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(entries[1].cmd.Wait())
}

// TestPausedHostStopsServing checks that a team's limit holds although a host is paused until its seat is removed and
// then resumes. A host that resumed without detecting the pause would admit requests from partitions that are assigned
// to other hosts by then. Clients send more than the limit all the time, and the requests that the backend server
// starts are checked against an exact token bucket.
func TestPausedHostStopsServing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const rate, burst = 50.0, 20.0
	jayshift, _ := buildPrograms(t)
	dir := t.TempDir()
	store, closeStore, err := fake.ServeStore(fake.NewStore(), "127.0.0.1:0")
	is.NoErr(err)
	defer closeStore()
	checker := fake.NewRateChecker(rate, burst)
	backend, err := fake.NewBackend("b1", "127.0.0.1:0", fake.Behaviour{Slots: 100, OnStart: func() { checker.Record(time.Now()) }})
	is.NoErr(err)
	defer backend.Close()
	var entries []entryHost
	for i := range 3 {
		entries = append(entries, startEntryHost(t, jayshift, dir, store, i))
	}
	eventually(t, "all entry hosts are voters", func() bool { return entries[0].voterCount() == 3 })
	ctx := context.Background()
	api := client.New(entries[0].operatorAddress, "")
	_, err = api.Apply(ctx, []wire.Resource{
		{Kind: "region", Name: "styria", Region: &wire.Region{}},
		{Kind: "availability-zone", Name: "graz-0", AvailabilityZone: &wire.AvailabilityZone{Region: "styria"}},
		{Kind: "service", Name: "whistle", Service: &wire.Service{Prefix: "/whistle", DeadlineMs: 1000}},
		{Kind: "team", Name: "north", Team: &wire.Team{Rate: rate, Burst: burst}},
		{Kind: "backend-server", Name: "b1", BackendServer: &wire.BackendServer{
			Service: "whistle", Version: "v1", AvailabilityZone: "graz-0", Address: backend.Address, Slots: 100,
		}},
	})
	is.NoErr(err)
	granted, err := api.CreateKey(ctx, "north", "")
	is.NoErr(err)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() { flood("http://"+entries[i%3].callerAddress+"/whistle/read/1", granted.Key, stop) })
	}
	time.Sleep(2 * time.Second)
	pausedAt := time.Now()
	is.NoErr(entries[2].cmd.Process.Signal(syscall.SIGSTOP))
	eventually(t, "the paused host's seat is removed", func() bool {
		_, text := get("http://"+entries[0].operatorAddress+"/v1/hosts", "")
		return !strings.Contains(text, "entry-2")
	})
	time.Sleep(3 * time.Second)
	resumedAt := time.Now()
	is.NoErr(entries[2].cmd.Process.Signal(syscall.SIGCONT))
	eventually(t, "the resumed host is healthy again", entries[2].isHealthy)
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	excess, admitted := checker.Excess()
	t.Logf("%d requests started, at most %.3f above the limit", admitted, excess)
	for _, at := range checker.ExcessTimes() {
		t.Logf("the excess grew %s after the pause and %s after the resume", at.Sub(pausedAt), at.Sub(resumedAt))
	}
	is.True(excess <= 0)
	is.True(admitted > 300)
}

// flood sends requests until stop is closed. Requests to a paused host time out after one second each.
func flood(url, key string, stop chan struct{}) {
	httpClient := &http.Client{Timeout: time.Second}
	for {
		select {
		case <-stop:
			return
		case <-time.After(3 * time.Millisecond):
		}
		r, _ := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
		r.Header.Set("Authorization", "Bearer "+key)
		if response, err := httpClient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
}

// TestInvalidSettings checks that all errors in a settings file are listed with their lines and that the exit status is 2.
func TestInvalidSettings(t *testing.T) {
	is := is.New(t)
	jayshift, _ := buildPrograms(t)
	path := writeFile(t, t.TempDir(), "bad.ini", "[host]\nname=Entry One\ncolour=red\n[fleet]\nrenewal=3s\n")
	out, err := exec.Command(jayshift, "entry", "--config", path).CombinedOutput()
	var exitErr *exec.ExitError
	is.True(asExitError(err, &exitErr))
	is.Equal(exitErr.ExitCode(), 2)
	for _, want := range []string{"line 2: host.name", "line 3: host.colour", "line 5: fleet.renewal", "host.region is required"} {
		is.True(strings.Contains(string(out), want)) // all errors are listed
	}
}

// asExitError sets target to err if it is an *exec.ExitError, and reports whether it is.
func asExitError(err error, target **exec.ExitError) bool {
	exitErr, ok := err.(*exec.ExitError)
	*target = exitErr
	return ok
}
