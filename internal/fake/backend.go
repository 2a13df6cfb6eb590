package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// WorkHeader names the work that a request asks for, so that executions can be counted.
const WorkHeader = "X-Work-Id"

// crashPath is the part of a path that crashes a backend server.
const crashPath = "/crash/"

// Behaviour is how a stand-in backend server acts.
type Behaviour struct {
	Slots     int
	Latency   time.Duration
	ColdFor   time.Duration // time after the start during which answers take three times as long
	FailRate  float64       // share of requests answered with status 500
	FailPath  string        // requests whose path contains it fail, whatever the rate
	Shed      bool          // refuse with 503 and Retry-After when all slots are taken
	Leaving   bool          // say so in the load report
	Lie       int           // say this in place of the in-flight count, when above zero
	Silent    bool          // run requests and never answer
	Truncate  bool          // break answers off half way
	NoLength  bool          // do not state the length of an answer
	Crossed   bool          // answer with another request's attempt header
	AnswerLen int           // bytes of an answer, zero for a short one
	OnStart   func()        `json:"-"` // called when a request starts
}

// Seen is what a backend server has recorded.
type Seen struct {
	Requests  int
	Shed      int
	Most      int            // most requests at the same time
	Runs      map[string]int // executions of each work
	KeysSeen  int            // requests that still carried a caller's key
	LastStart time.Time      // when the newest request came
	Bytes     int64
}

// Backend is a stand-in for a backend server.
type Backend struct {
	Name    string
	Address string

	mu       sync.Mutex
	act      Behaviour
	seen     Seen
	running  int
	started  time.Time
	listener net.Listener
	server   *http.Server
}

// NewBackend listens at the address and serves until Close or a crash.
func NewBackend(name, address string, act Behaviour) (*Backend, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	b := &Backend{Name: name, Address: l.Addr().String(), act: act, listener: l, started: time.Now()}
	b.seen.Runs = map[string]int{}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	return b, nil
}

// Set changes how the backend server acts.
func (b *Backend) Set(change func(*Behaviour)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(&b.act)
}

// Seen returns a copy of what was recorded.
func (b *Backend) Seen() Seen {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.seen
	out.Runs = map[string]int{}
	for k, v := range b.seen.Runs {
		out.Runs[k] = v
	}
	return out
}

// Close ends the backend server with all its connections.
func (b *Backend) Close() { _ = b.server.Close() }

// ServeHTTP runs one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		b.health(w)
		return
	}
	act, ok := b.begin(r)
	if !ok {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end()
	n, _ := io.Copy(io.Discard, r.Body)
	b.count(n)
	if strings.Contains(r.URL.Path, crashPath) {
		b.Close()
		panic(http.ErrAbortHandler)
	}
	b.work(act, r)
	b.answer(w, r, act)
}

func (b *Backend) count(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seen.Bytes += n
}

// begin records the start of a request; false when it is shed.
func (b *Backend) begin(r *http.Request) (Behaviour, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.act.Shed && b.running >= b.act.Slots {
		b.seen.Shed++
		return b.act, false
	}
	if b.act.OnStart != nil {
		b.act.OnStart()
	}
	b.running++
	b.seen.Requests++
	b.seen.Most = max(b.seen.Most, b.running)
	b.seen.LastStart = time.Now()
	if work := r.Header.Get(WorkHeader); work != "" {
		b.seen.Runs[work]++
	}
	if r.Header.Get("Authorization") != "" {
		b.seen.KeysSeen++
	}
	return b.act, true
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

func (b *Backend) work(act Behaviour, r *http.Request) {
	d := act.Latency
	if time.Since(b.started) < act.ColdFor {
		d *= 3
	}
	select {
	case <-time.After(d):
	case <-r.Context().Done():
	}
	if act.Silent {
		<-r.Context().Done()
	}
}

func (b *Backend) answer(w http.ResponseWriter, r *http.Request, act Behaviour) {
	attempt := r.Header.Get("Jayshift-Attempt")
	if act.Crossed {
		attempt = "another"
	}
	w.Header().Set("Jayshift-Attempt", attempt)
	w.Header().Set("X-Backend", b.Name)
	if rand.Float64() < act.FailRate || (act.FailPath != "" && strings.Contains(r.URL.Path, act.FailPath)) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	text := fmt.Sprintf("%s %s\n", r.Method, r.URL.Path)
	if act.AnswerLen > len(text) {
		text += strings.Repeat("x", act.AnswerLen-len(text))
	}
	if !act.NoLength {
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	}
	if act.Truncate {
		_, _ = io.WriteString(w, text[:len(text)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func (b *Backend) health(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	status, running := "ok", b.running
	if b.act.Leaving {
		status = "leaving"
	}
	if b.act.Lie > 0 {
		running = b.act.Lie
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"status": status, "in-flight": running, "slots": b.act.Slots})
}
