// Package setup reads a host's settings from an INI file and checks them as a whole.
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

// ErrInvalid means that the settings are wrong; the error lists every fault with its line.
var ErrInvalid = merry.Sentinel("invalid settings")

// Settings are one host's checked settings.
type Settings struct {
	Name   string
	Zone   string
	Region string

	Caller   string
	Operator string
	Link     string
	Admin    string
	Store    string

	Peers          map[string]string
	LinkSecret     string
	Isolation      time.Duration
	Drift          time.Duration
	Renewal        time.Duration
	Heartbeat      time.Duration
	LongestRequest time.Duration
	DrainLimit     time.Duration
	Capacity       int
	OperatorToken  string
	Certificate    string
	CertificateKey string
	Authority      string
	Level          slog.Level
}

// fault is one wrong setting.
type fault struct {
	line   int
	key    string
	reason string
}

// Read reads and checks the settings file. The error wraps ErrInvalid and lists every fault.
func Read(path string) (*Settings, error) { return read(path, Parse) }

func read[T any](path string, parse func([]byte) (*T, error)) (*T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	return parse(data)
}

// Parse checks settings in INI form.
func Parse(data []byte) (*Settings, error) { return parse(data, table, (*Settings).check) }

// parse reads the settings of a table, and lets check find faults between them.
func parse[T any](data []byte, rows []setting[T], check func(*T, map[string]int) []fault) (*T, error) {
	file, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: false}, data)
	if err != nil {
		return nil, merry.Prepend(ErrInvalid, err.Error())
	}
	lines := lineNumbers(data)
	s := new(T)
	faults := unknownKeys(file, rows, lines)
	for _, row := range rows {
		faults = append(faults, row.read(s, file, lines)...)
	}
	faults = append(faults, check(s, lines)...)
	if len(faults) > 0 {
		return nil, merry.Prepend(ErrInvalid, describe(faults))
	}
	return s, nil
}

func (row setting[T]) name() string { return row.section + "." + row.key }

func (row setting[T]) read(s *T, file *ini.File, lines map[string]int) []fault {
	value := row.fallback
	section, err := file.GetSection(row.section)
	if err == nil && section.HasKey(row.key) {
		value = section.Key(row.key).String()
	}
	if value == required {
		return []fault{{key: row.name(), reason: "is required"}}
	}
	if err := row.set(s, value); err != nil {
		return []fault{{line: lines[row.name()], key: row.name(), reason: err.Error()}}
	}
	return nil
}

func unknownKeys[T any](file *ini.File, rows []setting[T], lines map[string]int) []fault {
	known := map[string]bool{}
	for _, row := range rows {
		known[row.name()] = true
	}
	var faults []fault
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			full := section.Name() + "." + key.Name()
			if !known[full] {
				faults = append(faults, fault{line: lines[full], key: full, reason: "is not a setting"})
			}
		}
	}
	return faults
}

// check finds faults between settings.
func (s *Settings) check(lines map[string]int) []fault {
	var faults []fault
	add := func(key, reason string) {
		faults = append(faults, fault{line: lines[key], key: key, reason: reason})
	}
	if (s.Certificate == "") != (s.CertificateKey == "") {
		add("tls.key", "certificate and key must be set together")
	}
	if s.Renewal*3 > s.Isolation {
		add("fleet.renewal", "must be at most a third of isolation-limit")
	}
	if s.Heartbeat*3 > s.Isolation {
		add("fleet.heartbeat", "must be at most a third of isolation-limit")
	}
	if s.OperatorToken == "" && !onLoopback(s.Operator) {
		add("operator.token-file", "must be set when the operator address is not on loopback")
	}
	if s.LinkSecret == "" && !onLoopback(s.Link) {
		add("fleet.secret-file", "must be set when the link address is not on loopback")
	}
	return faults
}

func onLoopback(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err != nil || a.Addr().IsLoopback()
}

func describe(faults []fault) string {
	var b strings.Builder
	for i, f := range faults {
		if i > 0 {
			b.WriteString("; ")
		}
		if f.line > 0 {
			fmt.Fprintf(&b, "line %d: ", f.line)
		}
		fmt.Fprintf(&b, "%s %s", f.key, f.reason)
	}
	return b.String()
}

// lineNumbers finds the line of each key, since the INI library does not keep it.
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

// Table prints the settings table of an entry host in Markdown.
func Table() string { return printTable(table) }

// EdgeTable prints the settings table of an edge host in Markdown.
func EdgeTable() string { return printTable(edgeTable) }

func printTable[T any](rows []setting[T]) string {
	var b strings.Builder
	b.WriteString("| section | key | default | unit | meaning |\n|---|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s |\n", row.section, row.key, row.fallback, row.unit, row.help)
	}
	return b.String()
}

// Print returns every setting of a checked file of an entry host with its value, in INI form.
func Print(path string) (string, error) {
	if _, err := Read(path); err != nil {
		return "", err
	}
	return printFile(path, table)
}

// PrintEdge returns every setting of a checked file of an edge host with its value, in INI form.
func PrintEdge(path string) (string, error) {
	if _, err := ReadEdge(path); err != nil {
		return "", err
	}
	return printFile(path, edgeTable)
}

func printFile[T any](path string, rows []setting[T]) (string, error) {
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
		fmt.Fprintf(&b, "%s = %s\n", row.key, file.Section(row.section).Key(row.key).MustString(row.fallback))
	}
	return b.String(), nil
}
