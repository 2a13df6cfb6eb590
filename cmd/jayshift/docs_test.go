package main_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"jayshift/io/setup"
)

var (
	message = regexp.MustCompile(`[lL]og\.(?:Info|Warn|Error)\("([^"]+)"`)
	gauge   = regexp.MustCompile(`"(jayshift\.edge\.[a-z.]+)"`)
)

// TestOperationsPage holds the page for operators to the settings, log events and metrics of edge hosts.
func TestOperationsPage(t *testing.T) {
	data, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(data)
	if !strings.Contains(page, setup.EdgeTable()) {
		t.Error("the page lacks the settings table of edge hosts as it is now")
	}
	for _, dir := range []string{"edge", "watch", "peer", "roll", "node", "httpd", "meter"} {
		files, err := filepath.Glob("../../io/" + dir + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			source, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, m := range message.FindAllStringSubmatch(string(source), -1) {
				if !strings.Contains(page, "`"+m[1]+"`") {
					t.Errorf("%s: the page lacks the log event %q", file, m[1])
				}
			}
			for _, m := range gauge.FindAllStringSubmatch(string(source), -1) {
				if !strings.Contains(page, strings.ReplaceAll(m[1], ".", "_")) {
					t.Errorf("%s: the page lacks the metric %q", file, m[1])
				}
			}
		}
	}
}
