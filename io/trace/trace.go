// Package trace searches the log files of several hosts for the lines about one request, with the cause of its outcome,
// or for the state changes in a period.
package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/go-logfmt/logfmt"
)

const maxLineBytes = 1 << 20 // Read fails on longer lines

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	File   string            // name of the log file
	Fields map[string]string // logfmt values by key
	Text   string            // the line as read
}

// changeMessages are the log messages that report a change in the state of a host, such as a new configuration or a
// lost store connection.
var changeMessages = []string{
	"configuration in force", "host started", "host stopping", "host stopped", "host stated in the store", "lease lapsed",
	"store lost", "store regained", "store dropped its history, reading all", "reader lost, using another",
	"took a peer's copy of the store", "value in the store left out", "availability zone evacuated", "evacuation over",
	"move ordered", "move stated", "move ended", "backend version tripped", "told to reload; settings take effect at the next start",
	"log lines dropped",
}

// causeByOutcome describes each outcome of a request in a sentence for operators.
var causeByOutcome = map[string]string{
	"answered":         "A backend server answered it.",
	"server-failed":    "The backend server ran it and answered with a failure of its own.",
	"no-configuration": "The host had just started and knew no configuration yet; the request was not run.",
	"no-route":         "The configuration in force has no route for its host name and path.",
	"key-refused":      "The configuration in force has no such key.",
	"team-rate":        "What this host may use of the team's rate was used up; the request was not run.",
	"poison-request":   "Requests like it have taken down several backend servers; it was not run.",
	"body-too-large":   "Its body is larger than the configuration allows.",
	"body-broken":      "The caller broke off while it sent the body.",
	"body-slow":        "The caller did not send the body within the route's timeout; the request was not run.",
	"memory-full":      "The host had no memory for the body, or needed it for requests that made progress; the request was not run.",
	"misdirected":      "Other processes answered at the addresses of the servers that were tried; it was not run.",
	"shed":             "The servers that were tried refused it for lack of room; it was not run.",
	"unreachable":      "No connection to the servers that were tried came about; it was not run.",
	"caller-left":      "The caller left before there was an answer; with sent=0 it was not run.",
	"silent":           "The server that got it did not answer in time; it may have run.",
	"broken":           "The connection to the server that got it broke before the answer was whole; it may have run.",
	"foreign-answer":   "What came was not the server's own answer, so it was not passed on; the request may have run.",
	"no-server":        "No backend server may run it: none of its service, version or home regions is there.",
	"cold":             "The servers that could run it are cold and get no more requests now; it was not run.",
	"limited":          "The servers that could run it take no more requests than they have named as their limit; it was refused at once and not run.",
	"late":             "No server could have answered before its deadline; it was refused at once and not run.",
	"full":             "All servers that could run it in time were full; it was refused at once and not run.",
}

// Read parses the log of one host; file is its name. It skips lines that are not logfmt or have no valid time. It
// returns an error if reading fails or a line is longer than maxLineBytes.
func Read(file string, r io.Reader) ([]Line, error) {
	var list []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			line.File = file
			list = append(list, line)
		}
	}
	return list, merry.Wrap(scanner.Err())
}

func parseLine(text []byte) (Line, bool) {
	line := Line{Fields: map[string]string{}, Text: string(text)}
	// Log collectors may prepend text to a line.
	if start := bytes.Index(text, []byte("time=")); start > 0 {
		text = text[start:]
	}
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			line.Fields[string(d.Key())] = string(d.Value())
		}
	}
	t, err := time.Parse(time.RFC3339Nano, line.Fields["time"])
	line.Time = t
	return line, err == nil && d.Err() == nil
}

// Request returns the lines about the request with the id, sorted by time.
func Request(lines []Line, id string) []Line {
	return filter(lines, func(l Line) bool { return l.Fields["id"] == id })
}

// Changes returns the lines that report a state change between since and until, sorted by time.
func Changes(lines []Line, since, until time.Time) []Line {
	return filter(lines, func(l Line) bool {
		if l.Time.Before(since) || l.Time.After(until) {
			return false
		}
		for _, message := range changeMessages {
			if l.Fields["msg"] == message {
				return true
			}
		}
		return false
	})
}

func filter(lines []Line, match func(Line) bool) []Line {
	var list []Line
	for _, l := range lines {
		if match(l) {
			list = append(list, l)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list
}

// changeWindow is how long before the first line about a request Explain looks for changes that may have caused the
// outcome.
const changeWindow = 3 * time.Second

// Explain writes the lines about a request, the state changes shortly before and during it, and the cause of its last
// outcome.
func Explain(w io.Writer, lines []Line, id string) {
	requestLines := Request(lines, id)
	if len(requestLines) == 0 {
		_, _ = fmt.Fprintf(w, "No line names %s: it was served and not sampled, its kind of line was bounded in that second, or no host read it.\n", id)
		return
	}
	for _, l := range requestLines {
		Print(w, l)
	}
	last := requestLines[len(requestLines)-1]
	_, _ = fmt.Fprintf(w, "\nChanges within %s before:\n", changeWindow)
	for _, l := range Changes(lines, requestLines[0].Time.Add(-changeWindow), last.Time) {
		Print(w, l)
	}
	cause, ok := causeByOutcome[last.Fields["outcome"]]
	if !ok {
		cause = "The outcome " + last.Fields["outcome"] + " is not known to this version."
	}
	_, _ = fmt.Fprintf(w, "\nCause: %s %s\n", cause, decisionInputs(last))
}

// decisionInputs formats the fields of a line that the outcome was decided by.
func decisionInputs(l Line) string {
	var parts []string
	for _, name := range []string{"route", "team", "service", "version", "servers", "sent", "unsent", "took", "left", "retry-after", "configuration"} {
		if value := l.Fields[name]; value != "" && value != "[]" {
			parts = append(parts, name+" "+value)
		}
	}
	return "(" + strings.Join(parts, ", ") + ")"
}

// Print writes a line with the name of its log file in front.
func Print(w io.Writer, l Line) {
	_, _ = fmt.Fprintf(w, "%s: %s\n", l.File, l.Text)
}
