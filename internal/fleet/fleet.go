// Package fleet starts several hosts in one process, with a fake store and fake backend servers, for tests and demos.
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
	anyPort      = "127.0.0.1:0"
	pollInterval = 20 * time.Millisecond
)

// Service describes a service and its backend servers.
type Service struct {
	Name               string
	Versions           []string // each version has its own backend servers; the first is the default version
	BackendsPerVersion int
	Behaviour          fake.Behaviour
	DeadlineMs         int  // maximum duration of a request, in milliseconds; 0 for the default
	Open               bool // callers need no key
}

// Options configures a fleet.
type Options struct {
	Hosts    int
	Regions  int // with two availability zones each
	Services []Service
	Settings string    // additional settings of all hosts, in INI format
	Log      io.Writer // output for the logs of all hosts; nil discards them
}

// Fleet is a set of running hosts with their store and backend servers.
type Fleet struct {
	Store        *fake.Store
	StoreAddress string
	Backends     map[string]*fake.Backend // by name, see BackendName
	Hosts        []*host.Host

	opts      Options
	mu        sync.Mutex // guards Hosts and stopFuncs after Start
	stopFuncs []func()
}

// Start starts the store, the backend servers and the hosts, and waits until the fleet is ready.
func Start(ctx context.Context, opts Options) (*Fleet, error) {
	f := &Fleet{Store: fake.NewStore(), Backends: map[string]*fake.Backend{}, opts: opts}
	address, closeStore, err := fake.ServeStore(f.Store, anyPort)
	if err != nil {
		return nil, err
	}
	f.StoreAddress = address
	f.stopFuncs = append(f.stopFuncs, closeStore)
	if err := f.startBackends(); err != nil {
		return nil, err
	}
	for i := range opts.Hosts {
		h, err := f.StartHost(i, anyPort)
		if err != nil {
			return nil, err
		}
		f.Hosts = append(f.Hosts, h)
	}
	return f, f.WaitReady(ctx)
}

func (f *Fleet) startBackends() error {
	for _, s := range f.opts.Services {
		for _, v := range s.Versions {
			for i := range s.BackendsPerVersion {
				name := BackendName(s.Name, v, i)
				b, err := fake.NewBackend(name, anyPort, s.Behaviour)
				if err != nil {
					return err
				}
				f.Backends[name] = b
				f.stopFuncs = append(f.stopFuncs, b.Close)
			}
		}
	}
	return nil
}

// BackendName returns the name of the i-th backend server of a version, counted from 0.
func BackendName(service, version string, i int) string {
	return fmt.Sprintf("%s-%s-%d", service, version, i+1)
}

// locationOf returns the availability zone and region of the n-th host or backend server. It distributes them over the
// regions in turn, and within a region over its two zones.
func (f *Fleet) locationOf(n int) (zone, region string) {
	regionIndex := n % f.opts.Regions
	zoneIndex := n / f.opts.Regions % 2
	return fmt.Sprintf("zone-%d%c", regionIndex+1, 'a'+zoneIndex), fmt.Sprintf("region-%d", regionIndex+1)
}

// StartHost starts the i-th host, which listens on linkAddress for other hosts and on free ports for the rest. It does
// not add it to Hosts.
func (f *Fleet) StartHost(i int, linkAddress string) (*host.Host, error) {
	zone, region := f.locationOf(i)
	config := fmt.Sprintf("[host]\nname=entry-%d\navailability-zone=%s\nregion=%s\n"+
		"[listen]\ncaller=%[4]s\noperator=%[4]s\nlink=%[5]s\nadmin=%[4]s\n[store]\naddress=%[6]s\n%[7]s",
		i+1, zone, region, anyPort, linkAddress, f.StoreAddress, f.opts.Settings)
	settings, err := setup.Parse([]byte(config))
	if err != nil {
		return nil, err
	}
	logOutput := f.opts.Log
	if logOutput == nil {
		logOutput = io.Discard
	}
	h, err := host.New(settings, serve.NewLogger(logOutput, slog.LevelInfo).With("at", settings.Name))
	if err != nil {
		return nil, err
	}
	h.SetGracePeriod(100 * time.Millisecond)
	f.mu.Lock()
	f.stopFuncs = append(f.stopFuncs, h.Kill)
	f.mu.Unlock()
	go func() { _ = h.Run() }()
	return h, nil
}

// Restart kills the i-th host and starts it again with the same link address.
func (f *Fleet) Restart(i int) (*host.Host, error) {
	f.mu.Lock()
	old := f.Hosts[i]
	f.mu.Unlock()
	linkAddress := old.Addresses().Link
	old.Kill()
	h, err := f.StartHost(i, linkAddress)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.Hosts[i] = h
	return h, nil
}

// WaitReady waits until all hosts serve and are connected to each other, all hosts are keepers of run records, and all
// partitions have owners and are not being moved. It returns an error if the context ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for ctx.Err() == nil {
		if f.isReady() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return merry.New("fleet was not ready before the context ended")
}

func (f *Fleet) isReady() bool {
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

// OperatorClient returns a client of the operator API of the first host.
func (f *Fleet) OperatorClient() *client.Client {
	return client.New(f.Hosts[0].Addresses().Operator, "")
}

// Entries returns the addresses at which the hosts serve callers.
func (f *Fleet) Entries() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for _, h := range f.Hosts {
		list = append(list, h.Addresses().Caller)
	}
	return list
}

// Resources returns the resources of the fleet: regions, availability zones, services and backend servers.
func (f *Fleet) Resources() []wire.Resource {
	var list []wire.Resource
	seen := map[string]bool{}
	for n := range 2 * f.opts.Regions {
		zone, region := f.locationOf(n)
		if !seen[region] {
			list = append(list, wire.Resource{Kind: "region", Name: region, Region: &wire.Region{}})
		}
		seen[region] = true
		list = append(list, wire.Resource{Kind: "availability-zone", Name: zone, AvailabilityZone: &wire.AvailabilityZone{Region: region}})
	}
	for _, s := range f.opts.Services {
		list = append(list, f.serviceResources(s)...)
	}
	return list
}

func (f *Fleet) serviceResources(s Service) []wire.Resource {
	list := []wire.Resource{{Kind: "service", Name: s.Name, Service: &wire.Service{
		Prefix: "/" + s.Name, DeadlineMs: s.DeadlineMs, Version: s.Versions[0], Open: s.Open,
	}}}
	for _, v := range s.Versions {
		for i := range s.BackendsPerVersion {
			name := BackendName(s.Name, v, i)
			zone, _ := f.locationOf(i)
			list = append(list, wire.Resource{Kind: "backend-server", Name: name, BackendServer: &wire.BackendServer{
				Service: s.Name, Version: v, AvailabilityZone: zone, Address: f.Backends[name].Address, Slots: s.Behaviour.Slots,
			}})
		}
	}
	return list
}

// Apply writes resources and waits until they are in force on all hosts.
func (f *Fleet) Apply(ctx context.Context, list []wire.Resource) error {
	applied, err := f.OperatorClient().Apply(ctx, list)
	if err != nil {
		return err
	}
	return f.WaitInForce(ctx, int(applied.Revision))
}

// WaitInForce waits until the configuration revision or a later one is in force on all hosts. It returns an error if
// the context ends first.
func (f *Fleet) WaitInForce(ctx context.Context, revision int) error {
	for ctx.Err() == nil {
		inForce := true
		for _, h := range f.Hosts {
			inForce = inForce && int(h.Feed.Snapshot().Revision) >= revision
		}
		if inForce {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return merry.Wrap(ctx.Err())
}

// Grant creates a key for a team and waits until it is in force on all hosts. It returns the key and its name.
func (f *Fleet) Grant(ctx context.Context, team string) (key, name string, err error) {
	granted, err := f.OperatorClient().CreateKey(ctx, team, "")
	if err != nil {
		return "", "", err
	}
	return granted.Key, granted.Name, f.WaitInForce(ctx, int(granted.Revision))
}

// Totals sums up the counts of the backend servers: the executions by work ID, the requests that carried a caller's
// key, and by how much the concurrent requests exceeded the slots.
func (f *Fleet) Totals() (executions map[string]int, keysSeen, beyondSlots int) {
	executions = map[string]int{}
	for _, b := range f.Backends {
		stats := b.Stats()
		for id, n := range stats.Runs {
			executions[id] += n
		}
		keysSeen += stats.KeysSeen
		beyondSlots += max(0, stats.Most-f.slotCount(b.Name))
	}
	return executions, keysSeen, beyondSlots
}

func (f *Fleet) slotCount(name string) int {
	for _, s := range f.opts.Services {
		if strings.HasPrefix(name, s.Name+"-") {
			return s.Behaviour.Slots
		}
	}
	return 0
}

// Close stops the hosts, the backend servers and the store, in the reverse order of their start.
func (f *Fleet) Close() {
	for i := len(f.stopFuncs) - 1; i >= 0; i-- {
		f.stopFuncs[i]()
	}
}
