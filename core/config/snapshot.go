// Package config holds the operators' resources as checked, immutable snapshots.
package config

import (
	"maps"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/gaissmai/bart"

	"jayshift/core/ident"
	"jayshift/core/wire"
)

// Snapshot is the whole configuration at one revision. It never changes once built.
type Snapshot struct {
	Revision  ident.Revision
	resources map[ResourceID]wire.Resource
	services  []Service
	servers   map[ident.Service][]Server
	byName    map[ident.BackendServer]Server
	keys      map[string]Grant
	shifts    []Shift
	zones     map[ident.AvailabilityZone]ident.Region
	links     map[RegionPair]wire.Link
	sites     map[ident.Site]ident.AvailabilityZone
	drains    map[ResourceID]bool
	blocks    *bart.Table[ident.Site]
}

// RegionPair is a direction between two regions.
type RegionPair struct{ From, To ident.Region }

// Service is a service with its name.
type Service struct {
	Name ident.Service
	wire.Service
}

// DefaultDeadline is the longest time for a request of a service that states none.
const DefaultDeadline = 10 * time.Second

// DeadlineOf returns the longest time for a request of the service, at most the longest time for any request.
func DeadlineOf(s wire.Service, longest time.Duration) time.Duration {
	limit := DefaultDeadline
	if s.DeadlineMs > 0 {
		limit = time.Duration(s.DeadlineMs) * time.Millisecond
	}
	return min(limit, longest)
}

// Server is a backend server with its place.
type Server struct {
	Name    ident.BackendServer
	Service ident.Service
	Version ident.Version
	Zone    ident.AvailabilityZone
	Region  ident.Region
	Address string
	Slots   int
}

// Grant is a key that was granted to a team.
type Grant struct {
	Key  ident.Key
	Team ident.Team
}

// Shift is a duty shift with its name.
type Shift struct {
	Name ident.Shift
	wire.Shift
}

// New builds a snapshot from all resources of a revision. The resources must have passed Check.
func New(revision ident.Revision, resources []wire.Resource) *Snapshot {
	s := &Snapshot{Revision: revision, resources: make(map[ResourceID]wire.Resource, len(resources))}
	for _, r := range resources {
		s.resources[IDOf(r)] = r
	}
	s.index(nil)
	return s
}

// With returns the snapshot at a later revision with the changes applied; the receiver stays as it is.
func (s *Snapshot) With(revision ident.Revision, changes []wire.Resource) *Snapshot {
	next := &Snapshot{Revision: revision, resources: maps.Clone(s.resources)}
	blocks := s.blocks
	for _, c := range changes {
		if c.Kind == KindClientBlocks {
			blocks = nil
		}
		if c.Deleted {
			delete(next.resources, IDOf(c))
			continue
		}
		next.resources[IDOf(c)] = c
	}
	next.index(blocks)
	return next
}

// index fills the look-up tables; blocks is reused when it still holds.
func (s *Snapshot) index(blocks *bart.Table[ident.Site]) {
	s.servers = map[ident.Service][]Server{}
	s.byName = map[ident.BackendServer]Server{}
	s.keys = map[string]Grant{}
	s.zones = map[ident.AvailabilityZone]ident.Region{}
	s.links = map[RegionPair]wire.Link{}
	s.sites = map[ident.Site]ident.AvailabilityZone{}
	s.drains = map[ResourceID]bool{}
	s.blocks = blocks
	if blocks == nil {
		s.blocks = &bart.Table[ident.Site]{}
	}
	for _, r := range s.resources {
		if r.AvailabilityZone != nil {
			s.zones[ident.AvailabilityZone(r.Name)] = ident.Region(r.AvailabilityZone.Region)
		}
	}
	for _, r := range s.resources {
		s.indexOne(r, blocks == nil)
	}
	sort.Slice(s.services, func(i, j int) bool { return len(s.services[i].Prefix) > len(s.services[j].Prefix) })
	sort.Slice(s.shifts, func(i, j int) bool { return s.shifts[i].Name < s.shifts[j].Name })
	for _, list := range s.servers {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
}

func (s *Snapshot) indexOne(r wire.Resource, withBlocks bool) {
	switch r.Kind {
	case KindService:
		s.services = append(s.services, Service{Name: ident.Service(r.Name), Service: *r.Service})
	case KindBackendServer:
		server := s.serverOf(r)
		s.servers[server.Service] = append(s.servers[server.Service], server)
		s.byName[server.Name] = server
	case KindKey:
		s.keys[r.Key.Hash] = Grant{Key: ident.Key(r.Name), Team: ident.Team(r.Key.Team)}
	case KindShift:
		s.shifts = append(s.shifts, Shift{Name: ident.Shift(r.Name), Shift: *r.Shift})
	case KindLink:
		s.links[RegionPair{ident.Region(r.Link.From), ident.Region(r.Link.To)}] = *r.Link
	case KindSite:
		s.sites[ident.Site(r.Name)] = ident.AvailabilityZone(r.Site.AvailabilityZone)
	case KindDrain:
		s.drains[ResourceID{r.Drain.Kind, r.Drain.Target}] = true
	case KindClientBlocks:
		if withBlocks {
			s.insertBlocks(r.ClientBlocks.Blocks)
		}
	}
}

func (s *Snapshot) serverOf(r wire.Resource) Server {
	b := r.BackendServer
	zone := ident.AvailabilityZone(b.AvailabilityZone)
	return Server{
		Name: ident.BackendServer(r.Name), Service: ident.Service(b.Service), Version: ident.Version(b.Version),
		Zone: zone, Region: s.zones[zone], Address: b.Address, Slots: b.Slots,
	}
}

func (s *Snapshot) insertBlocks(blocks map[string]string) {
	for text, site := range blocks {
		prefix, err := netip.ParsePrefix(text)
		if err != nil {
			continue
		}
		s.blocks.Insert(prefix.Masked(), ident.Site(site))
	}
}

// Resources returns all resources, ordered by kind and name.
func (s *Snapshot) Resources() []wire.Resource {
	list := slices.Collect(maps.Values(s.resources))
	sort.Slice(list, func(i, j int) bool {
		if list[i].Kind != list[j].Kind {
			return list[i].Kind < list[j].Kind
		}
		return list[i].Name < list[j].Name
	})
	return list
}

// Get returns one resource.
func (s *Snapshot) Get(id ResourceID) (wire.Resource, bool) {
	r, ok := s.resources[id]
	return r, ok
}

// Changes returns the resources that changed after the revision, deletions not included.
func (s *Snapshot) Changes(after ident.Revision) []wire.Resource {
	var list []wire.Resource
	for _, r := range s.resources {
		if ident.Revision(r.Revision) > after {
			list = append(list, r)
		}
	}
	return list
}

// ServiceFor returns the service with the longest prefix of the path.
func (s *Snapshot) ServiceFor(path string) (Service, bool) {
	for _, service := range s.services {
		if strings.HasPrefix(path, service.Prefix) {
			return service, true
		}
	}
	return Service{}, false
}

// Service returns the service of that name.
func (s *Snapshot) Service(name ident.Service) (Service, bool) {
	r, ok := s.resources[ResourceID{KindService, string(name)}]
	if !ok {
		return Service{}, false
	}
	return Service{Name: name, Service: *r.Service}, true
}

// Services returns all services, longest prefix first.
func (s *Snapshot) Services() []Service { return s.services }

// Servers returns the backend servers of a service, ordered by name.
func (s *Snapshot) Servers(service ident.Service) []Server { return s.servers[service] }

// Server returns the backend server of that name.
func (s *Snapshot) Server(name ident.BackendServer) (Server, bool) {
	server, ok := s.byName[name]
	return server, ok
}

// Grant returns the team and key name for the hash of a caller key.
func (s *Snapshot) Grant(hash string) (Grant, bool) {
	g, ok := s.keys[hash]
	return g, ok
}

// Team returns a team.
func (s *Snapshot) Team(name ident.Team) (wire.Team, bool) {
	r, ok := s.resources[ResourceID{KindTeam, string(name)}]
	if !ok {
		return wire.Team{}, false
	}
	return *r.Team, true
}

// Shifts returns all duty shifts, ordered by name.
func (s *Snapshot) Shifts() []Shift { return s.shifts }

// ShiftsOf returns the duty shifts that name the service.
func (s *Snapshot) ShiftsOf(service ident.Service) []Shift {
	var list []Shift
	for _, shift := range s.shifts {
		if slices.Contains(shift.Services, string(service)) {
			list = append(list, shift)
		}
	}
	return list
}

// RegionOf returns the region of an availability zone.
func (s *Snapshot) RegionOf(zone ident.AvailabilityZone) ident.Region { return s.zones[zone] }

// Link returns the link between two regions.
func (s *Snapshot) Link(pair RegionPair) (wire.Link, bool) {
	l, ok := s.links[pair]
	return l, ok
}

// SiteFor returns the site of a client address by longest prefix, and its availability zone.
func (s *Snapshot) SiteFor(client netip.Addr) (ident.Site, ident.AvailabilityZone, bool) {
	site, ok := s.blocks.Lookup(client.Unmap())
	return site, s.sites[site], ok
}

// Drained tells whether something is planned out of traffic.
func (s *Snapshot) Drained(kind, name string) bool { return s.drains[ResourceID{kind, name}] }

// ServerDrained tells whether a backend server, its availability zone or its region is drained.
func (s *Snapshot) ServerDrained(b Server) bool {
	return s.Drained(KindBackendServer, string(b.Name)) ||
		s.Drained(KindAvailabilityZone, string(b.Zone)) ||
		s.Drained(KindRegion, string(b.Region))
}

// WantedVersion returns the backend version that the service should be on, and the shift that moves it, if any.
func (s *Snapshot) WantedVersion(service ident.Service) (ident.Version, ident.Shift) {
	for _, shift := range s.ShiftsOf(service) {
		if v, ok := shift.Versions[string(service)]; ok {
			return ident.Version(v), shift.Name
		}
	}
	return "", ""
}
