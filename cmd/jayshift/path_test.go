package main_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const patience = 30 * time.Second

// process is one started program.
type process struct {
	cmd *exec.Cmd
	out bytes.Buffer
}

func build(t *testing.T) (jayshift, fake string) {
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
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

// TestWholePathInProcesses serves a request through real processes, kills one entry and goes on through the other.
func TestWholePathInProcesses(t *testing.T) {
	is := is.New(t)
	jayshift, fake := build(t)
	dir := t.TempDir()
	store, backend := freeAddress(t), freeAddress(t)
	launch(t, fake, "store", "--listen", store)
	launch(t, fake, "backend", "--listen", backend, "--name", "b1")

	var entries []*process
	var callers, operators, admins []string
	for i := range 2 {
		caller, operator, admin := freeAddress(t), freeAddress(t), freeAddress(t)
		path := write(t, dir, fmt.Sprintf("entry-%d.ini", i), fmt.Sprintf(
			"[host]\nname=entry-%d\navailability-zone=graz-%d\nregion=styria\n[listen]\ncaller=%s\noperator=%s\nlink=%s\nadmin=%s\n[store]\naddress=%s\n",
			i, i, caller, operator, freeAddress(t), admin, store))
		entries = append(entries, launch(t, jayshift, "entry", "--config", path))
		callers, operators, admins = append(callers, caller), append(operators, operator), append(admins, admin)
	}
	for _, a := range admins {
		eventually(t, "entry serves", func() bool { code, _ := get("http://"+a+"/healthz", ""); return code == http.StatusOK })
	}

	shift := write(t, dir, "shift.ini", "[region styria]\n[availability-zone graz-0]\nregion=styria\n[service whistle]\nprefix=/whistle\ndeadline-ms=3000\n"+
		"[backend-server b1]\nservice=whistle\nversion=v1\navailability-zone=graz-0\naddress="+backend+"\nslots=4\n"+
		"[team north]\nrate=1000\nburst=100\n[shift strike]\nservices=whistle\nteams=north\ncap=1000\ncap-burst=100\n")
	out, err := exec.Command(jayshift, "--operator", operators[0], "apply", shift).CombinedOutput()
	is.NoErr(err)
	is.True(strings.Contains(string(out), "state=in-force"))
	out, err = exec.Command(jayshift, "--operator", operators[1], "key", "grant", "north").CombinedOutput()
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(out), "key=")
	key, _, _ := strings.Cut(rest, "\n")

	code, body := get("http://"+callers[0]+"/whistle/read/1", key)
	is.Equal(code, http.StatusOK)
	is.Equal(body, "GET /whistle/read/1\n")
	code, _ = get("http://"+callers[1]+"/whistle/read/2", "wrong")
	is.Equal(code, http.StatusUnauthorized)
	eventually(t, "steering names both entries", func() bool {
		_, text := get("http://"+callers[0]+"/v1/steer", "")
		return strings.Contains(text, callers[0]) && strings.Contains(text, callers[1])
	})
	eventually(t, "both entries are voters", func() bool {
		_, text := get("http://"+operators[1]+"/v1/hosts", "")
		return strings.Count(text, `"voter":true`) == 2
	})

	is.NoErr(entries[0].cmd.Process.Signal(syscall.SIGKILL))
	eventually(t, "the other entry serves", func() bool {
		code, _ := get("http://"+callers[1]+"/whistle/read/3", key)
		return code == http.StatusOK
	})
	eventually(t, "steering leaves the killed entry out", func() bool {
		_, text := get("http://"+callers[1]+"/v1/steer", "")
		return !strings.Contains(text, callers[0])
	})
	is.NoErr(entries[1].cmd.Process.Signal(syscall.SIGTERM))
	is.NoErr(entries[1].cmd.Wait())
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
