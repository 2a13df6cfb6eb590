package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/io/trace"
)

type explainCommand struct {
	ID    string        `arg:"" help:"ID of the request, or a hyphen to list changes instead."`
	Files []string      `arg:"" help:"Log files, one for each host." type:"existingfile"`
	Since time.Time     `help:"With a hyphen: list changes from this time on, for example 2026-01-02T15:04:05Z."`
	For   time.Duration `help:"With a hyphen and --since: length of the listed time span." default:"1h"`
}

// Run explains how a request ended, or lists the changes in a time span. Without Since it lists all changes up to now.
func (c *explainCommand) Run() error {
	var lines []trace.Line
	for _, path := range c.Files {
		f, err := os.Open(path)
		if err != nil {
			return merry.Wrap(err)
		}
		fileLines, err := trace.Read(filepath.Base(path), f)
		_ = f.Close()
		if err != nil {
			return merry.Prepend(err, path)
		}
		lines = append(lines, fileLines...)
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
