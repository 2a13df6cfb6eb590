package setup

import (
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
)

// Edge is the checked settings of an edge host, which runs on a platform where operators write to the store themselves.
type Edge struct {
	Name    string
	Zone    string
	Region  string
	Regions map[ident.AvailabilityZone]ident.Region

	Caller    string
	Directory string
	Ready     string
	Link      string
	Metrics   string

	Store      string
	StorePause time.Duration
	Seeds      []string
	Bounds     string // of the platform, as it states them
	MemoryMB   int
	Level      slog.Level
}

var (
	errAddresses = merry.Sentinel("must be IP:port addresses, separated by commas")
	errRegions   = merry.Sentinel("must be zone=region pairs, separated by commas")
)

// edgeTable lists every setting of an edge host.
var edgeTable = []setting[Edge]{
	{"host", "name", required, "", "Name of this host, unique in the fleet.", name(func(s *Edge) *string { return &s.Name })},
	{"host", "availability-zone", required, "", "Availability zone that the host stands in.", name(func(s *Edge) *string { return &s.Zone })},
	{"host", "region", required, "", "Region of the availability zone.", name(func(s *Edge) *string { return &s.Region })},
	{"host", "memory-mb", "256", "MB", "Memory that the process may use; the collector keeps below it.", count(func(s *Edge) *int { return &s.MemoryMB })},
	{"listen", "caller", required, "address", "Where callers send requests.", address(func(s *Edge) *string { return &s.Caller })},
	{"listen", "directory", required, "address", "Where callers ask which hosts to use.", address(func(s *Edge) *string { return &s.Directory })},
	{"listen", "ready", required, "address", "Where the platform asks whether the host takes callers.", address(func(s *Edge) *string { return &s.Ready })},
	{"listen", "link", required, "address", "Where other hosts of the fleet connect.", address(func(s *Edge) *string { return &s.Link })},
	{"listen", "metrics", required, "address", "Where metrics are served.", address(func(s *Edge) *string { return &s.Metrics })},
	{"store", "address", required, "address", "The platform's key-value store.", address(func(s *Edge) *string { return &s.Store })},
	{"store", "pause", "500ms", "time", "Time from one question for changes to the next.", duration(func(s *Edge) *time.Duration { return &s.StorePause })},
	{"fleet", "seeds", "", "addresses", "Links to try while the store is out and no peer is known.", seeds},
	{"fleet", "regions", required, "zone=region", "Availability zones with their regions.", zoneRegions},
	{"platform", "bounds", "", "name=value", "Bounds that the platform states for its rules.", text(func(s *Edge) *string { return &s.Bounds })},
	{"log", "level", "info", "level", "Lowest level that is logged.", edgeLevel},
}

// ReadEdge reads and checks the settings file of an edge host. The error wraps ErrInvalid and lists every fault.
func ReadEdge(path string) (*Edge, error) { return read(path, ParseEdge) }

// ParseEdge checks the settings of an edge host in INI form.
func ParseEdge(data []byte) (*Edge, error) { return parse(data, edgeTable, (*Edge).check) }

// check finds faults between settings.
func (s *Edge) check(lines map[string]int) []fault {
	if s.Zone == "" || s.Region == "" || s.Regions == nil {
		return nil // each is named already
	}
	if s.Regions[ident.AvailabilityZone(s.Zone)] != ident.Region(s.Region) {
		return []fault{{line: lines["fleet.regions"], key: "fleet.regions", reason: "does not name the host's zone and region"}}
	}
	return nil
}

func text[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		*field(s) = value
		return nil
	}
}

func seeds(s *Edge, value string) error {
	for _, part := range strings.Split(value, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(part); err != nil {
			return errAddresses
		}
		s.Seeds = append(s.Seeds, part)
	}
	return nil
}

func zoneRegions(s *Edge, value string) error {
	s.Regions = map[ident.AvailabilityZone]ident.Region{}
	for _, pair := range strings.Split(value, ",") {
		zone, region, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || zone == "" || region == "" {
			return errRegions
		}
		s.Regions[ident.AvailabilityZone(strings.TrimSpace(zone))] = ident.Region(strings.TrimSpace(region))
	}
	return nil
}

func edgeLevel(s *Edge, value string) error {
	return merry.Wrap(levelError(s.Level.UnmarshalText([]byte(value))))
}
