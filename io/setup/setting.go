package setup

import (
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

// setting is one row of a settings table. T is the type that holds the settings.
type setting[T any] struct {
	section      string
	key          string
	defaultValue string // or "required" if there is no default
	unit         string
	meaning      string
	set          func(s *T, value string) error // parses the value and sets the field
}

// required is the default value of a setting that the operator must set.
const required = "required"

var (
	errName     = merry.Sentinel("must be 1 to 63 characters of a-z, 0-9, dot and hyphen")
	errAddress  = merry.Sentinel("must be an IP number and port, such as 127.0.0.1:7100")
	errDuration = merry.Sentinel("must be a time such as 500ms or 4s, above zero")
	errCount    = merry.Sentinel("must be a whole number above zero")
	errFile     = merry.Sentinel("must name a readable file")
	errPeers    = merry.Sentinel("must be name=IP:port pairs, separated by commas")
	errLevel    = merry.Sentinel("must be debug, info, warn or error")

	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
)

// table lists all settings of an entry host.
var table = []setting[Settings]{
	{"host", "name", required, "", "Name of this host, unique in the fleet.", nameField(func(s *Settings) *string { return &s.Name })},
	{"host", "availability-zone", required, "", "Availability zone that the host stands in.", nameField(func(s *Settings) *string { return &s.Zone })},
	{"host", "region", required, "", "Region of the availability zone.", nameField(func(s *Settings) *string { return &s.Region })},
	{"host", "memory-mb", "256", "MB", "Memory that the process may use; the collector keeps below it, and clients fill a quarter of it at most.", countField(func(s *Settings) *int { return &s.MemoryMB })},
	{"listen", "caller", required, "address", "Where callers ask and send requests.", addressField(func(s *Settings) *string { return &s.CallerAddress })},
	{"listen", "operator", required, "address", "Where operators read and write resources.", addressField(func(s *Settings) *string { return &s.OperatorAddress })},
	{"listen", "link", required, "address", "Where other hosts of the fleet connect.", addressField(func(s *Settings) *string { return &s.LinkAddress })},
	{"listen", "admin", required, "address", "Metrics and health.", addressField(func(s *Settings) *string { return &s.AdminAddress })},
	{"store", "address", required, "address", "Gateway of the platform's key-value store.", addressField(func(s *Settings) *string { return &s.StoreAddress })},
	{"fleet", "peers", "", "name=address", "Link addresses to try while the store is out.", setPeers},
	{"fleet", "secret-file", "", "file", "File with the secret that hosts show each other.", fileContentField(func(s *Settings) *string { return &s.LinkSecret })},
	{"fleet", "isolation-limit", "4s", "time", "How long a host serves without contact to the store or a majority.", durationField(func(s *Settings) *time.Duration { return &s.IsolationLimit })},
	{"fleet", "clock-drift", "200ms", "time", "How far two clocks may part within the isolation limit.", durationField(func(s *Settings) *time.Duration { return &s.ClockDrift })},
	{"fleet", "renewal", "1s", "time", "Time between seat renewals.", durationField(func(s *Settings) *time.Duration { return &s.RenewalInterval })},
	{"fleet", "heartbeat", "500ms", "time", "Time between heartbeats on a link.", durationField(func(s *Settings) *time.Duration { return &s.HeartbeatInterval })},
	{"requests", "longest", "30s", "time", "Longest time that any request may run.", durationField(func(s *Settings) *time.Duration { return &s.MaxRequestTime })},
	{"requests", "drain", "60s", "time", "How long a stopping host waits for its requests.", durationField(func(s *Settings) *time.Duration { return &s.DrainTimeout })},
	{"requests", "capacity", "2000", "requests", "Requests that the host runs at the same time.", countField(func(s *Settings) *int { return &s.Capacity })},
	{"requests", "max-descriptors", "4096", "count", "File descriptors that the process may use; callers' connections leave a part of them to others.", countField(func(s *Settings) *int { return &s.MaxDescriptors })},
	{"operator", "token-file", "", "file", "File with the token that operators show; required off loopback.", fileContentField(func(s *Settings) *string { return &s.OperatorToken })},
	{"tls", "certificate", "", "file", "PEM certificate for the listen addresses, reread on change.", pathField(func(s *Settings) *string { return &s.CertificateFile })},
	{"tls", "key", "", "file", "PEM key of the certificate.", pathField(func(s *Settings) *string { return &s.KeyFile })},
	{"tls", "authority", "", "file", "PEM certificates that links to other hosts are checked against.", pathField(func(s *Settings) *string { return &s.AuthorityFile })},
	{"log", "level", "info", "level", "Lowest level that is logged.", setLevel},
}

// nameField returns a setter for a name.
func nameField[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		if !namePattern.MatchString(value) {
			return errName
		}
		*field(s) = value
		return nil
	}
}

// addressField returns a setter for an IP:port address.
func addressField[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return errAddress
		}
		*field(s) = value
		return nil
	}
}

// durationField returns a setter for a positive duration.
func durationField[T any](field func(*T) *time.Duration) func(*T, string) error {
	return func(s *T, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return errDuration
		}
		*field(s) = d
		return nil
	}
}

// countField returns a setter for a positive integer.
func countField[T any](field func(*T) *int) func(*T, string) error {
	return func(s *T, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			return errCount
		}
		*field(s) = n
		return nil
	}
}

// fileContentField returns a setter that sets the field to the trimmed content of the named file.
func fileContentField[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		if value == "" {
			return nil
		}
		content, err := os.ReadFile(value)
		if err != nil {
			return errFile
		}
		*field(s) = strings.TrimSpace(string(content))
		return nil
	}
}

// pathField returns a setter for the path of an existing file.
func pathField[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		if value == "" {
			return nil
		}
		if _, err := os.Stat(value); err != nil {
			return errFile
		}
		*field(s) = value
		return nil
	}
}

func setLevel(s *Settings, value string) error {
	return merry.Wrap(checkLevel(s.LogLevel.UnmarshalText([]byte(value))))
}

// checkLevel returns errLevel in place of another error.
func checkLevel(err error) error {
	if err != nil {
		return errLevel
	}
	return nil
}

// setPeers parses name=IP:port pairs.
func setPeers(s *Settings, value string) error {
	s.Peers = map[string]string{}
	for _, pair := range strings.Split(value, ",") {
		pair = strings.TrimSpace(pair)
		if pair == "" {
			continue
		}
		host, addr, ok := strings.Cut(pair, "=")
		if _, err := netip.ParseAddrPort(addr); err != nil || !ok || !namePattern.MatchString(host) {
			return errPeers
		}
		s.Peers[host] = addr
	}
	return nil
}
