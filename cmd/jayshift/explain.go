package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/io/trace"
)

type explainCommand struct {
	ID    string        `arg:"" help:"Id of the request; a hyphen to list changes only."`
	Files []string      `arg:"" help:"Log files, one for each host." type:"existingfile"`
	Since time.Time     `help:"With a hyphen: list what changed from this time on, as 2026-01-02T15:04:05Z."`
	For   time.Duration `help:"With a hyphen: how long a span to list." default:"1h"`
}

// Run tells what became of a request, or what changed in a time span.
func (c *explainCommand) Run() error {
	var lines []trace.Line
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return merry.Wrap(err)
		}
		list, err := trace.Read(filepath.Base(path), f)
		_ = f.Close()
		if err != nil {
			return merry.Prepend(err, path)
		}
		lines = append(lines, list...)
	}
	if c.ID != "-" {
		trace.Explain(os.Stdout, lines, c.ID)
		return nil
	}
	until := c.Since.Add(c.For)
	if c.Since.IsZero() {
		until = time.Now()
	}
	for _, l := range trace.Changes(lines, c.Since, until) {
		trace.Print(os.Stdout, l)
	}
	return nil
}
