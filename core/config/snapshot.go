// Package config validates the resources that operators apply and indexes them in immutable snapshots.
package config

import (
	"maps"
	"net/netip"
	"slices"
	"sort"
	"time"

	"github.com/gaissmai/bart"

	"jayshift/core/ident"
	"jayshift/core/paths"
	"jayshift/core/wire"
)

// Snapshot is the complete configuration at one store revision. It is immutable and safe for concurrent use.
type Snapshot struct {
	Revision         ident.Revision
	resources        map[ResourceID]wire.Resource
	servicesByPrefix []Service
	serversByService map[ident.Service][]Server
	serversByName    map[ident.BackendServer]Server
	grantsByHash     map[string]Grant
	shifts           []Shift
	regionsByZone    map[ident.AvailabilityZone]ident.Region
	links            map[RegionPair]wire.Link
	zonesBySite      map[ident.Site]ident.AvailabilityZone
	drained          map[ResourceID]bool
	sitesByBlock     *bart.Table[ident.Site]
}

// RegionPair is an ordered pair of regions: traffic flows from From to To.
type RegionPair struct{ From, To ident.Region }

// Service is a service resource together with its name.
type Service struct {
	Name ident.Service
	wire.Service
}

// IdempotentAt reports whether any request for the path may run more than once, whatever its method.
func (s Service) IdempotentAt(path paths.Path) bool {
	return slices.ContainsFunc(s.IdempotentPaths, func(prefix string) bool { return path.Under(paths.Of(prefix)) })
}

// DefaultDeadline is the request deadline of a service that does not set one.
const DefaultDeadline = 10 * time.Second

// DeadlineOf returns the request deadline of the service, capped at maxDeadline.
func DeadlineOf(s wire.Service, maxDeadline time.Duration) time.Duration {
	deadline := DefaultDeadline
	if s.DeadlineMs > 0 {
		deadline = time.Duration(s.DeadlineMs) * time.Millisecond
	}
	return min(deadline, maxDeadline)
}

// Server is a backend server with the availability zone and the region that it runs in.
type Server struct {
	Name    ident.BackendServer
	Service ident.Service
	Version ident.Version
	Zone    ident.AvailabilityZone
	Region  ident.Region
	Address string
	Slots   int
}

// Grant names an API key and the team that it was granted to.
type Grant struct {
	Key  ident.Key
	Team ident.Team
}

// Shift is a shift resource together with its name.
type Shift struct {
	Name ident.Shift
	wire.Shift
}

// New builds a snapshot from all resources at a revision. The resources must have passed Check.
func New(revision ident.Revision, resources []wire.Resource) *Snapshot {
	s := &Snapshot{Revision: revision, resources: make(map[ResourceID]wire.Resource, len(resources))}
	for _, r := range resources {
		s.resources[IDOf(r)] = r
	}
	s.index(nil)
	return s
}

// With returns a new snapshot at a later revision with the changes applied. The receiver is not modified.
func (s *Snapshot) With(revision ident.Revision, changes []wire.Resource) *Snapshot {
	next := &Snapshot{Revision: revision, resources: maps.Clone(s.resources)}
	blocks := s.sitesByBlock
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

// index builds the lookup tables. A non-nil blocks table is reused instead of being rebuilt; it must match the client
// blocks among the resources.
func (s *Snapshot) index(blocks *bart.Table[ident.Site]) {
	s.serversByService = map[ident.Service][]Server{}
	s.serversByName = map[ident.BackendServer]Server{}
	s.grantsByHash = map[string]Grant{}
	s.regionsByZone = map[ident.AvailabilityZone]ident.Region{}
	s.links = map[RegionPair]wire.Link{}
	s.zonesBySite = map[ident.Site]ident.AvailabilityZone{}
	s.drained = map[ResourceID]bool{}
	s.sitesByBlock = blocks
	if blocks == nil {
		s.sitesByBlock = &bart.Table[ident.Site]{}
	}
	for _, r := range s.resources {
		if r.AvailabilityZone != nil {
			s.regionsByZone[ident.AvailabilityZone(r.Name)] = ident.Region(r.AvailabilityZone.Region)
		}
	}
	for _, r := range s.resources {
		s.indexResource(r, blocks == nil)
	}
	sort.Slice(s.servicesByPrefix, func(i, j int) bool { return len(s.servicesByPrefix[i].Prefix) > len(s.servicesByPrefix[j].Prefix) })
	sort.Slice(s.shifts, func(i, j int) bool { return s.shifts[i].Name < s.shifts[j].Name })
	for _, list := range s.serversByService {
		sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	}
}

func (s *Snapshot) indexResource(r wire.Resource, withBlocks bool) {
	switch r.Kind {
	case KindService:
		s.servicesByPrefix = append(s.servicesByPrefix, Service{Name: ident.Service(r.Name), Service: *r.Service})
	case KindBackendServer:
		server := s.newServer(r)
		s.serversByService[server.Service] = append(s.serversByService[server.Service], server)
		s.serversByName[server.Name] = server
	case KindKey:
		s.grantsByHash[r.Key.Hash] = Grant{Key: ident.Key(r.Name), Team: ident.Team(r.Key.Team)}
	case KindShift:
		s.shifts = append(s.shifts, Shift{Name: ident.Shift(r.Name), Shift: *r.Shift})
	case KindLink:
		s.links[RegionPair{ident.Region(r.Link.From), ident.Region(r.Link.To)}] = *r.Link
	case KindSite:
		s.zonesBySite[ident.Site(r.Name)] = ident.AvailabilityZone(r.Site.AvailabilityZone)
	case KindDrain:
		s.drained[ResourceID{r.Drain.Kind, r.Drain.Target}] = true
	case KindClientBlocks:
		if withBlocks {
			s.insertBlocks(r.ClientBlocks.Blocks)
		}
	}
}

func (s *Snapshot) newServer(r wire.Resource) Server {
	b := r.BackendServer
	zone := ident.AvailabilityZone(b.AvailabilityZone)
	return Server{
		Name: ident.BackendServer(r.Name), Service: ident.Service(b.Service), Version: ident.Version(b.Version),
		Zone: zone, Region: s.regionsByZone[zone], Address: b.Address, Slots: b.Slots,
	}
}

func (s *Snapshot) insertBlocks(blocks map[string]string) {
	for block, site := range blocks {
		prefix, err := netip.ParsePrefix(block)
		if err != nil {
			continue
		}
		s.sitesByBlock.Insert(prefix.Masked(), ident.Site(site))
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

// Get returns the resource with the ID.
func (s *Snapshot) Get(id ResourceID) (wire.Resource, bool) {
	r, ok := s.resources[id]
	return r, ok
}

// Changes returns the resources that were created or changed after the revision. It does not report deletions.
func (s *Snapshot) Changes(after ident.Revision) []wire.Resource {
	var list []wire.Resource
	for _, r := range s.resources {
		if ident.Revision(r.Revision) > after {
			list = append(list, r)
		}
	}
	return list
}

// ServiceFor returns the service with the longest prefix that begins the path.
func (s *Snapshot) ServiceFor(path paths.Path) (Service, bool) {
	for _, service := range s.servicesByPrefix {
		if path.Under(paths.Of(service.Prefix)) {
			return service, true
		}
	}
	return Service{}, false
}

// Service returns the service with the name.
func (s *Snapshot) Service(name ident.Service) (Service, bool) {
	r, ok := s.resources[ResourceID{KindService, string(name)}]
	if !ok {
		return Service{}, false
	}
	return Service{Name: name, Service: *r.Service}, true
}

// Services returns all services, ordered by prefix length, longest first.
func (s *Snapshot) Services() []Service { return s.servicesByPrefix }

// Servers returns the backend servers of a service, ordered by name.
func (s *Snapshot) Servers(service ident.Service) []Server { return s.serversByService[service] }

// Server returns the backend server with the name.
func (s *Snapshot) Server(name ident.BackendServer) (Server, bool) {
	server, ok := s.serversByName[name]
	return server, ok
}

// Grant returns the key name and the team for the hash of an API key.
func (s *Snapshot) Grant(hash string) (Grant, bool) {
	g, ok := s.grantsByHash[hash]
	return g, ok
}

// Team returns the team with the name.
func (s *Snapshot) Team(name ident.Team) (wire.Team, bool) {
	r, ok := s.resources[ResourceID{KindTeam, string(name)}]
	if !ok {
		return wire.Team{}, false
	}
	return *r.Team, true
}

// Shifts returns all shifts, ordered by name.
func (s *Snapshot) Shifts() []Shift { return s.shifts }

// ShiftsOf returns the shifts that list the service, ordered by name.
func (s *Snapshot) ShiftsOf(service ident.Service) []Shift {
	var list []Shift
	for _, shift := range s.shifts {
		if slices.Contains(shift.Services, string(service)) {
			list = append(list, shift)
		}
	}
	return list
}

// RegionOf returns the region of an availability zone, or an empty name when the zone is unknown.
func (s *Snapshot) RegionOf(zone ident.AvailabilityZone) ident.Region { return s.regionsByZone[zone] }

// Link returns the link for an ordered pair of regions.
func (s *Snapshot) Link(pair RegionPair) (wire.Link, bool) {
	l, ok := s.links[pair]
	return l, ok
}

// SiteFor returns the site of the longest client block that contains the address, and the site's availability zone.
func (s *Snapshot) SiteFor(client netip.Addr) (ident.Site, ident.AvailabilityZone, bool) {
	site, ok := s.sitesByBlock.Lookup(client.Unmap())
	return site, s.zonesBySite[site], ok
}

// Drained reports whether an operator has drained the resource of that kind and name.
func (s *Snapshot) Drained(kind, name string) bool { return s.drained[ResourceID{kind, name}] }

// ServerDrained reports whether the backend server, its availability zone or its region is drained.
func (s *Snapshot) ServerDrained(b Server) bool {
	return s.Drained(KindBackendServer, string(b.Name)) ||
		s.Drained(KindAvailabilityZone, string(b.Zone)) ||
		s.Drained(KindRegion, string(b.Region))
}

// TargetVersion returns the backend version that the service is to be moved to and the shift that orders the move.
// Both are empty when no shift does. When several do, the first one by name wins.
func (s *Snapshot) TargetVersion(service ident.Service) (ident.Version, ident.Shift) {
	for _, shift := range s.ShiftsOf(service) {
		if v, ok := shift.Versions[string(service)]; ok {
			return ident.Version(v), shift.Name
		}
	}
	return "", ""
}
