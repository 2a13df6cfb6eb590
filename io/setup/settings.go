// Package setup reads and checks the settings of hosts, and the scenarios of the model, from INI files.
package setup

import (
	"bufio"
	"bytes"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"gopkg.in/ini.v1"
)

// ErrInvalid means that a file cannot be read or its settings are invalid. The error lists all violations, with the
// line numbers of the keys that the file contains.
var ErrInvalid = merry.Sentinel("invalid settings")

// Settings holds the checked settings of an entry host.
type Settings struct {
	Name   string
	Zone   string
	Region string

	// Addresses to listen on.
	CallerAddress   string
	OperatorAddress string
	LinkAddress     string
	AdminAddress    string
	// StoreAddress is the address of the key-value store's gateway.
	StoreAddress string

	Peers             map[string]string // link addresses by host name, used while the store is unavailable
	LinkSecret        string            // shared secret of the fleet's hosts
	IsolationLimit    time.Duration     // how long a host may serve without contact to the store or a majority
	ClockDrift        time.Duration     // how far two clocks may diverge within IsolationLimit
	RenewalInterval   time.Duration     // between seat renewals
	HeartbeatInterval time.Duration     // between heartbeats on a link
	MaxRequestTime    time.Duration     // longest time that a request may run
	DrainTimeout      time.Duration     // how long a stopping host waits for running requests
	Capacity          int               // maximum number of concurrent requests
	MaxDescriptors    int               // file descriptors that the process may use
	OperatorToken     string            // empty if operators need no token
	CertificateFile   string            // PEM file, empty without TLS
	KeyFile           string            // PEM file, empty without TLS
	AuthorityFile     string            // PEM file with the certificates that links are checked against
	MemoryMB          int               // memory that the process may use
	LogLevel          slog.Level
}

// violation describes one invalid, missing or unknown setting.
type violation struct {
	line   int // 0 if the file does not contain the key
	key    string
	reason string
}

// Read reads and checks the settings file of an entry host. The error wraps ErrInvalid and lists all violations.
func Read(path string) (*Settings, error) { return read(path, Parse) }

func read[T any](path string, parse func([]byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	return parse(data)
}

// Parse parses and checks the settings of an entry host in INI form.
func Parse(data []byte) (*Settings, error) { return parse(data, table, (*Settings).check) }

// parse parses the settings listed in rows. check returns violations between several settings; its map contains the
// line numbers by section.key.
func parse[T any](data []byte, rows []setting[T], check func(*T, map[string]int) []violation) (*T, error) {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	lines := lineNumbers(data)
	s := new(T)
	violations := unknownKeys(file, rows, lines)
	for _, row := range rows {
		violations = append(violations, row.read(s, file, lines)...)
	}
	violations = append(violations, check(s, lines)...)
	if len(violations) > 0 {
		return nil, merry.Prepend(ErrInvalid, formatViolations(violations))
	}
	return s, nil
}

func (row setting[T]) name() string { return row.section + "." + row.key }

// read sets the field of s to the value in the file, or to the default.
func (row setting[T]) read(s *T, file *ini.File, lines map[string]int) []violation {
	value := row.defaultValue
	section, err := file.GetSection(row.section)
	if err == nil && section.HasKey(row.key) {
		value = section.Key(row.key).String()
	}
	if value == required {
		return []violation{{key: row.name(), reason: "is required"}}
	}
	if err := row.set(s, value); err != nil {
		return []violation{{line: lines[row.name()], key: row.name(), reason: err.Error()}}
	}
	return nil
}

func unknownKeys[T any](file *ini.File, rows []setting[T], lines map[string]int) []violation {
	known := map[string]bool{}
	for _, row := range rows {
		known[row.name()] = true
	}
	var violations []violation
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			name := section.Name() + "." + key.Name()
			if !known[name] {
				violations = append(violations, violation{line: lines[name], key: name, reason: "is not a setting"})
			}
		}
	}
	return violations
}

// check returns the violations between several settings.
func (s *Settings) check(lines map[string]int) []violation {
	var violations []violation
	add := func(key, reason string) {
		violations = append(violations, violation{line: lines[key], key: key, reason: reason})
	}
	if (s.CertificateFile == "") != (s.KeyFile == "") {
		add("tls.key", "certificate and key must be set together")
	}
	if s.RenewalInterval*3 > s.IsolationLimit {
		add("fleet.renewal", "must be at most a third of isolation-limit")
	}
	if s.HeartbeatInterval*3 > s.IsolationLimit {
		add("fleet.heartbeat", "must be at most a third of isolation-limit")
	}
	if s.OperatorToken == "" && !onLoopback(s.OperatorAddress) {
		add("operator.token-file", "must be set when the operator address is not on loopback")
	}
	if s.LinkSecret == "" && !onLoopback(s.LinkAddress) {
		add("fleet.secret-file", "must be set when the link address is not on loopback")
	}
	return violations
}

func onLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err != nil || a.Addr().IsLoopback()
}

func formatViolations(violations []violation) string {
	var b strings.Builder
	for i, v := range violations {
		if i > 0 {
			b.WriteString("; ")
		}
		if v.line > 0 {
			fmt.Fprintf(&b, "line %d: ", v.line)
		}
		fmt.Fprintf(&b, "%s %s", v.key, v.reason)
	}
	return b.String()
}

// lineNumbers returns the line number of each section.key, which the INI library does not provide.
func lineNumbers(data []byte) map[string]int {
	lines := map[string]int{}
	section := ini.DefaultSection
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; scanner.Scan(); n++ {
		text := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(text, "[") && strings.HasSuffix(text, "]") {
			section = strings.TrimSpace(text[1 : len(text)-1])
			continue
		}
		if key, _, ok := strings.Cut(text, "="); ok {
			lines[section+"."+strings.TrimSpace(key)] = n
		}
	}
	return lines
}

// Table returns the settings table of an entry host in Markdown.
func Table() string { return formatTable(table) }

// EdgeTable returns the settings table of an edge host in Markdown.
func EdgeTable() string { return formatTable(edgeTable) }

func formatTable[T any](rows []setting[T]) string {
	var b strings.Builder
	b.WriteString("| section | key | default | unit | meaning |\n|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", row.section, row.key, row.defaultValue, row.unit, row.meaning)
	}
	return b.String()
}

// Format checks the settings file of an entry host and returns all settings in INI form, including defaults.
func Format(path string) (string, error) {
	if _, err := Read(path); err != nil {
		return "", err
	}
	return formatFile(path, table)
}

// FormatEdge checks the settings file of an edge host and returns all settings in INI form, including defaults.
func FormatEdge(path string) (string, error) {
	if _, err := ReadEdge(path); err != nil {
		return "", err
	}
	return formatFile(path, edgeTable)
}

func formatFile[T any](path string, rows []setting[T]) (string, error) {
	file, err := ini.Load(path)
	if err != nil {
		return "", merry.Wrap(err)
	}
	var b strings.Builder
	section := ""
	for _, row := range rows {
		if row.section != section {
			section = row.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fmt.Fprintf(&b, "%s = %s\n", row.key, file.Section(row.section).Key(row.key).MustString(row.defaultValue))
	}
	return b.String(), nil
}
