package setup

import (
	"log/slog"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/ident"
)

// EdgeSettings holds the checked settings of an edge host. Edge hosts run on a platform where operators write to the
// store directly.
type EdgeSettings struct {
	Name    string
	Zone    string
	Region  string
	Regions map[ident.AvailabilityZone]ident.Region

	// Addresses to listen on.
	CallerAddress    string
	DirectoryAddress string
	ReadyAddress     string
	LinkAddress      string
	MetricsAddress   string

	PlanRegions bool // the shares of the regions follow a plan of their room

	StoreAddress      string
	StorePollInterval time.Duration
	Seeds             []string // link addresses to try while the store is unavailable and no peer is known
	UsageAddress      string   // the platform's address for usage reports, empty if none are sent
	WaitForRoom       bool     // let requests wait for room, by priority
	SharePace         bool     // share with other hosts what is observed of the backend servers' pace
	Bounds            string   // limits set by the platform, in its own name=value format
	MemoryMB          int      // memory that the process may use
	MaxDescriptors    int      // file descriptors that the process may use
	LinkMbit          float64  // bandwidth of the network link, zero if it is not known
	BodyBufferMB      int      // memory for the bodies of large responses
	LogLevel          slog.Level
}

var (
	errAddresses = merry.Sentinel("must be IP:port addresses, separated by commas")
	errRegions   = merry.Sentinel("must be zone=region pairs, separated by commas")
	errBool      = merry.Sentinel("must be true or false")
	errBandwidth = merry.Sentinel("must be a number from 0 to 10000000")
)

// edgeTable lists all settings of an edge host.
var edgeTable = []setting[EdgeSettings]{
	{"host", "name", required, "", "Name of this host, unique in the fleet.", nameField(func(s *EdgeSettings) *string { return &s.Name })},
	{"host", "availability-zone", required, "", "Availability zone that the host stands in.", nameField(func(s *EdgeSettings) *string { return &s.Zone })},
	{"host", "region", required, "", "Region of the availability zone.", nameField(func(s *EdgeSettings) *string { return &s.Region })},
	{"host", "memory-mb", "256", "MB", "Memory that the process may use; the collector keeps below it, and clients fill a quarter of it at most.", countField(func(s *EdgeSettings) *int { return &s.MemoryMB })},
	{"host", "max-descriptors", "4096", "count", "File descriptors that the process may use; callers' connections leave a part of them to others.", countField(func(s *EdgeSettings) *int { return &s.MaxDescriptors })},
	{"host", "body-buffer-mb", "24", "MB", "Memory for the bodies of large responses; beyond it they are streamed and not retried.", countField(func(s *EdgeSettings) *int { return &s.BodyBufferMB })},
	{"host", "link-mbit", "0", "Mbit/s", "Bandwidth of the network link, 0 if it is not known; hosts with the most of it pass messages on.", setLinkMbit},
	{"listen", "caller", required, "address", "Where callers send requests.", addressField(func(s *EdgeSettings) *string { return &s.CallerAddress })},
	{"listen", "directory", required, "address", "Where callers ask which hosts to use.", addressField(func(s *EdgeSettings) *string { return &s.DirectoryAddress })},
	{"listen", "ready", required, "address", "Where the platform asks whether the host takes callers.", addressField(func(s *EdgeSettings) *string { return &s.ReadyAddress })},
	{"listen", "link", required, "address", "Where other hosts of the fleet connect.", addressField(func(s *EdgeSettings) *string { return &s.LinkAddress })},
	{"listen", "metrics", required, "address", "Where metrics are served.", addressField(func(s *EdgeSettings) *string { return &s.MetricsAddress })},
	{"store", "address", required, "address", "The platform's key-value store.", addressField(func(s *EdgeSettings) *string { return &s.StoreAddress })},
	{"store", "pause", "500ms", "time", "Time from one question for changes to the next.", durationField(func(s *EdgeSettings) *time.Duration { return &s.StorePollInterval })},
	{"fleet", "seeds", "", "addresses", "Links to try while the store is out and no peer is known.", setSeeds},
	{"fleet", "regions", required, "zone=region", "Availability zones with their regions.", setRegions},
	{"fleet", "plan-regions", "false", "true or false", "Move requests between regions ahead of need, by a plan from the demand and the servers of all regions.", boolField(func(s *EdgeSettings) *bool { return &s.PlanRegions })},
	{"fleet", "wait-for-room", "false", "true or false", "Whether requests to a service with several priorities wait at the host while its servers are full, the most urgent first.", boolField(func(s *EdgeSettings) *bool { return &s.WaitForRoom })},
	{"fleet", "share-pace", "false", "true or false", "Whether hosts tell each other how fast backend servers run requests, and limit the requests at the slow ones.", boolField(func(s *EdgeSettings) *bool { return &s.SharePace })},
	{"platform", "bounds", "", "name=value", "Bounds that the platform states for its rules.", textField(func(s *EdgeSettings) *string { return &s.Bounds })},
	{"usage", "address", "", "address", "Where the platform takes usage reports; empty if none are sent.", optionalAddressField(func(s *EdgeSettings) *string { return &s.UsageAddress })},
	{"log", "level", "info", "level", "Lowest level that is logged.", setEdgeLevel},
}

// ReadEdge reads and checks the settings file of an edge host. The error wraps ErrInvalid and lists all violations.
func ReadEdge(path string) (*EdgeSettings, error) { return read(path, ParseEdge) }

// ParseEdge parses and checks the settings of an edge host in INI form.
func ParseEdge(data []byte) (*EdgeSettings, error) {
	return parse(data, edgeTable, (*EdgeSettings).check)
}

// check returns the violations between several settings.
func (s *EdgeSettings) check(lines map[string]int) []violation {
	var list []violation
	if 2*s.BodyBufferMB > s.MemoryMB {
		list = append(list, violation{line: lines["host.body-buffer-mb"], key: "host.body-buffer-mb", reason: "is more than half of host.memory-mb"})
	}
	if s.Zone == "" || s.Region == "" || s.Regions == nil {
		return list // the missing or invalid settings are already listed
	}
	if s.Regions[ident.AvailabilityZone(s.Zone)] != ident.Region(s.Region) {
		list = append(list, violation{line: lines["fleet.regions"], key: "fleet.regions", reason: "does not name the host's zone and region"})
	}
	return list
}

// textField returns a setter for any text.
func textField[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		*field(s) = value
		return nil
	}
}

// boolField returns a setter for true or false.
func boolField[T any](field func(*T) *bool) func(*T, string) error {
	return func(s *T, value string) error {
		if value != "true" && value != "false" {
			return errBool
		}
		*field(s) = value == "true"
		return nil
	}
}

// optionalAddressField returns a setter for an IP:port address that may be empty.
func optionalAddressField[T any](field func(*T) *string) func(*T, string) error {
	set := addressField(field)
	return func(s *T, value string) error {
		if value == "" {
			return nil
		}
		return set(s, value)
	}
}

// setSeeds parses a list of IP:port addresses.
func setSeeds(s *EdgeSettings, value string) error {
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

// setRegions parses zone=region pairs.
func setRegions(s *EdgeSettings, value string) error {
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

// setLinkMbit parses a bandwidth.
func setLinkMbit(s *EdgeSettings, value string) error {
	n, err := strconv.ParseFloat(value, 64)
	if err != nil || !(n >= 0 && n <= maxLinkMbit) {
		return errBandwidth
	}
	s.LinkMbit = n
	return nil
}

// maxLinkMbit bounds the bandwidths that are believed, in megabits per second.
const maxLinkMbit = 1e7

func setEdgeLevel(s *EdgeSettings, value string) error {
	return merry.Wrap(checkLevel(s.LogLevel.UnmarshalText([]byte(value))))
}
