// Package fleet starts small fleets of hosts in one process, with a stand-in store and stand-in backend servers.
package fleet

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/io/client"
	"jayshift/io/host"
	"jayshift/io/serve"
	"jayshift/io/setup"
)

const (
	anyPort   = "127.0.0.1:0"
	readyPoll = 20 * time.Millisecond
)

// Service is a service with its backend servers.
type Service struct {
	Name       string
	Versions   []string // versions; each has its own backend servers
	Backends   int      // backend servers of each version
	Act        fake.Behaviour
	DeadlineMs int
	Open       bool
}

// Options describe a fleet.
type Options struct {
	Hosts    int
	Regions  int // two availability zones each
	Services []Service
	Settings string    // more settings, in INI form
	Log      io.Writer // nil discards
}

// Fleet is a running fleet.
type Fleet struct {
	Store        *fake.Store
	StoreAddress string
	Backends     map[string]*fake.Backend
	Hosts        []*host.Host

	options Options
	mu      sync.Mutex // guards Hosts and stop once the fleet runs
	stop    []func()
}

// Start starts the stand-ins and the hosts, and waits until the fleet is ready.
func Start(ctx context.Context, o Options) (*Fleet, error) {
	f := &Fleet{Store: fake.NewStore(), Backends: map[string]*fake.Backend{}, options: o}
	address, closeStore, err := fake.ServeStore(f.Store, anyPort)
	if err != nil {
		return nil, err
	}
	f.StoreAddress = address
	f.stop = append(f.stop, closeStore)
	if err := f.startBackends(); err != nil {
		return nil, err
	}
	for i := range o.Hosts {
		h, err := f.StartHost(i, anyPort)
		if err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f, f.Ready(ctx)
}

func (f *Fleet) startBackends() error {
	for _, s := range f.options.Services {
		for _, v := range s.Versions {
			for i := range s.Backends {
				name := BackendName(s.Name, v, i)
				b, err := fake.NewBackend(name, anyPort, s.Act)
				if err != nil {
					return err
				}
				f.Backends[name] = b
				f.stop = append(f.stop, b.Close)
			}
		}
	}
	return nil
}

// BackendName names the i-th backend server of a version.
func BackendName(service, version string, i int) string {
	return fmt.Sprintf("%s-%s-%d", service, version, i+1)
}

// place spreads the n-th thing over the regions, and over the two zones of each.
func (f *Fleet) place(n int) (zone, region string) {
	r := n % f.options.Regions
	z := n / f.options.Regions % 2
	return fmt.Sprintf("zone-%d%c", r+1, 'a'+z), fmt.Sprintf("region-%d", r+1)
}

// StartHost starts the i-th host with its link address; the other addresses are free ports.
func (f *Fleet) StartHost(i int, link string) (*host.Host, error) {
	zone, region := f.place(i)
	text := fmt.Sprintf("[host]\nname=entry-%d\navailability-zone=%s\nregion=%s\n"+
		"[listen]\ncaller=%[4]s\noperator=%[4]s\nlink=%[5]s\nadmin=%[4]s\n[store]\naddress=%[6]s\n%[7]s",
		i+1, zone, region, anyPort, link, f.StoreAddress, f.options.Settings)
	s, err := setup.Parse([]byte(text))
	if err != nil {
		return nil, err
	}
	out := f.options.Log
	if out == nil {
		out = io.Discard
	}
	h, err := host.New(s, serve.NewLogger(out, slog.LevelInfo).With("at", s.Name))
	if err != nil {
		return nil, err
	}
	h.SetGracePeriod(100 * time.Millisecond)
	f.mu.Lock()
	f.stop = append(f.stop, h.Kill)
	f.mu.Unlock()
	go func() { _ = h.Run() }()
	return h, nil
}

// Restart kills the i-th host and starts it again on its link address.
func (f *Fleet) Restart(i int) (*host.Host, error) {
	f.mu.Lock()
	old := f.Hosts[i]
	f.mu.Unlock()
	link := old.Addresses().Link
	old.Kill()
	h, err := f.StartHost(i, link)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Hosts[i] = h
	return h, nil
}

// Ready waits until all hosts serve, all partitions have owners and all hosts keep records.
func (f *Fleet) Ready(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.formed() {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return merry.New("fleet did not come up")
}

func (f *Fleet) formed() bool {
	for _, h := range f.Hosts {
		t := h.Member.Table()
		if len(t.Seats) != len(f.Hosts) || !h.Member.Lease().Serving(time.Now()) || len(h.Mesh.LinkedHosts()) != len(f.Hosts)-1 {
			return false
		}
		for _, s := range t.Seats {
			if s.KeeperSince == 0 {
				return false
			}
		}
		for _, p := range t.Partitions {
			if p.Owner == "" || p.Next != "" {
				return false
			}
		}
	}
	return true
}

// Operator returns a client of the first host.
func (f *Fleet) Operator() *client.Client { return client.New(f.Hosts[0].Addresses().Operator, "") }

// Entries returns the caller addresses.
func (f *Fleet) Entries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, h := range f.Hosts {
		list = append(list, h.Addresses().Caller)
	}
	return list
}

// Places returns the resources for regions, availability zones, services and backend servers.
func (f *Fleet) Places() []wire.Resource {
	var list []wire.Resource
	seen := map[string]bool{}
	for n := range 2 * f.options.Regions {
		zone, region := f.place(n)
		if !seen[region] {
			list = append(list, wire.Resource{Kind: "region", Name: region, Region: &wire.Region{}})
		}
		seen[region] = true
		list = append(list, wire.Resource{Kind: "availability-zone", Name: zone, AvailabilityZone: &wire.AvailabilityZone{Region: region}})
	}
	for _, s := range f.options.Services {
		list = append(list, f.serviceResources(s)...)
	}
	return list
}

func (f *Fleet) serviceResources(s Service) []wire.Resource {
	list := []wire.Resource{{Kind: "service", Name: s.Name, Service: &wire.Service{
		Prefix: "/" + s.Name, DeadlineMs: s.DeadlineMs, Version: s.Versions[0], Open: s.Open,
	}}}
	for _, v := range s.Versions {
		for i := range s.Backends {
			name := BackendName(s.Name, v, i)
			zone, _ := f.place(i)
			list = append(list, wire.Resource{Kind: "backend-server", Name: name, BackendServer: &wire.BackendServer{
				Service: s.Name, Version: v, AvailabilityZone: zone, Address: f.Backends[name].Address, Slots: s.Act.Slots,
			}})
		}
	}
	return list
}

// Apply writes resources and waits until they are in force everywhere.
func (f *Fleet) Apply(ctx context.Context, list []wire.Resource) error {
	applied, err := f.Operator().Apply(ctx, list)
	if err != nil {
		return err
	}
	return f.InForce(ctx, int(applied.Revision))
}

// InForce waits until every host has the revision in force.
func (f *Fleet) InForce(ctx context.Context, revision int) error {
	for ctx.Err() == nil {
		ready := true
		for _, h := range f.Hosts {
			ready = ready && int(h.Feed.Snapshot().Revision) >= revision
		}
		if ready {
			return nil
		}
		time.Sleep(readyPoll)
	}
	return merry.Wrap(ctx.Err())
}

// Grant makes a key for a team and waits until it is in force everywhere.
func (f *Fleet) Grant(ctx context.Context, team string) (key, name string, err error) {
	granted, err := f.Operator().CreateKey(ctx, team, "")
	if err != nil {
		return "", "", err
	}
	return granted.Key, granted.Name, f.InForce(ctx, int(granted.Revision))
}

// Seen sums up what the backend servers recorded: executions by work, keys seen, and requests beyond the slots.
func (f *Fleet) Seen() (runs map[string]int, keys, over int) {
	runs = map[string]int{}
	for _, b := range f.Backends {
		seen := b.Seen()
		for id, n := range seen.Runs {
			runs[id] += n
		}
		keys += seen.KeysSeen
		over += max(0, seen.Most-f.slotsOf(b.Name))
	}
	return runs, keys, over
}

func (f *Fleet) slotsOf(name string) int {
	for _, s := range f.options.Services {
		if strings.HasPrefix(name, s.Name+"-") {
			return s.Act.Slots
		}
	}
	return 0
}

// Close ends everything.
func (f *Fleet) Close() {
	for i := len(f.stop) - 1; i >= 0; i-- {
		f.stop[i]()
	}
}
