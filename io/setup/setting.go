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

// setting is one row of the settings table.
type setting[T any] struct {
	section  string
	key      string
	fallback string // default; "required" when the operator must set it
	unit     string
	help     string
	set      func(s *T, value string) error
}

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

// table lists every setting.
var table = []setting[Settings]{
	{"host", "name", required, "", "Name of this host, unique in the fleet.", name(func(s *Settings) *string { return &s.Name })},
	{"host", "availability-zone", required, "", "Availability zone that the host stands in.", name(func(s *Settings) *string { return &s.Zone })},
	{"host", "region", required, "", "Region of the availability zone.", name(func(s *Settings) *string { return &s.Region })},
	{"listen", "caller", required, "address", "Where callers ask and send requests.", address(func(s *Settings) *string { return &s.Caller })},
	{"listen", "operator", required, "address", "Where operators read and write resources.", address(func(s *Settings) *string { return &s.Operator })},
	{"listen", "link", required, "address", "Where other hosts of the fleet connect.", address(func(s *Settings) *string { return &s.Link })},
	{"listen", "admin", required, "address", "Metrics and health.", address(func(s *Settings) *string { return &s.Admin })},
	{"store", "address", required, "address", "Gateway of the platform's key-value store.", address(func(s *Settings) *string { return &s.Store })},
	{"fleet", "peers", "", "name=address", "Link addresses to try while the store is out.", peers},
	{"fleet", "secret-file", "", "file", "File with the secret that hosts show each other.", file(func(s *Settings) *string { return &s.LinkSecret })},
	{"fleet", "isolation-limit", "4s", "time", "How long a host serves without contact to the store or a majority.", duration(func(s *Settings) *time.Duration { return &s.Isolation })},
	{"fleet", "clock-drift", "200ms", "time", "How far two clocks may part within the isolation limit.", duration(func(s *Settings) *time.Duration { return &s.Drift })},
	{"fleet", "renewal", "1s", "time", "Time between seat renewals.", duration(func(s *Settings) *time.Duration { return &s.Renewal })},
	{"fleet", "heartbeat", "500ms", "time", "Time between heartbeats on a link.", duration(func(s *Settings) *time.Duration { return &s.Heartbeat })},
	{"requests", "longest", "30s", "time", "Longest time that any request may run.", duration(func(s *Settings) *time.Duration { return &s.LongestRequest })},
	{"requests", "drain", "60s", "time", "How long a stopping host waits for its requests.", duration(func(s *Settings) *time.Duration { return &s.DrainLimit })},
	{"requests", "capacity", "2000", "requests", "Requests that the host runs at the same time.", count(func(s *Settings) *int { return &s.Capacity })},
	{"operator", "token-file", "", "file", "File with the token that operators show; required off loopback.", file(func(s *Settings) *string { return &s.OperatorToken })},
	{"tls", "certificate", "", "file", "PEM certificate for the listen addresses, reread on change.", path(func(s *Settings) *string { return &s.Certificate })},
	{"tls", "key", "", "file", "PEM key of the certificate.", path(func(s *Settings) *string { return &s.CertificateKey })},
	{"tls", "authority", "", "file", "PEM certificates that links to other hosts are checked against.", path(func(s *Settings) *string { return &s.Authority })},
	{"log", "level", "info", "level", "Lowest level that is logged.", level},
}

func name[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		if !namePattern.MatchString(value) {
			return errName
		}
		*field(s) = value
		return nil
	}
}

func address[T any](field func(*T) *string) func(*T, string) error {
	return func(s *T, value string) error {
		if _, err := netip.ParseAddrPort(value); err != nil {
			return errAddress
		}
		*field(s) = value
		return nil
	}
}

func duration[T any](field func(*T) *time.Duration) func(*T, string) error {
	return func(s *T, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return errDuration
		}
		*field(s) = d
		return nil
	}
}

func count[T any](field func(*T) *int) func(*T, string) error {
	return func(s *T, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			return errCount
		}
		*field(s) = n
		return nil
	}
}

// file reads the content of the named file into the field.
func file[T any](field func(*T) *string) func(*T, string) error {
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

func path[T any](field func(*T) *string) func(*T, string) error {
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

func level(s *Settings, value string) error {
	return merry.Wrap(levelError(s.Level.UnmarshalText([]byte(value))))
}

func levelError(err error) error {
	if err != nil {
		return errLevel
	}
	return nil
}

func peers(s *Settings, value string) error {
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
