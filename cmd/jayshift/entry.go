package main

import (
	"errors"
	"fmt"
	"os"

	"jayshift/io/host"
	"jayshift/io/serve"
	"jayshift/io/setup"
)

const (
	exitFailed  = 1
	exitInvalid = 2
)

// exitCode tells invalid settings from other failures.
func exitCode(err error) int {
	if errors.Is(err, setup.ErrInvalid) {
		return exitInvalid
	}
	return exitFailed
}

type entryCommand struct {
	Config string `help:"Settings file in INI form." required:""`
}

// Run serves until the process is told to stop.
func (c *entryCommand) Run() error {
	settings, err := setup.Read(c.Config)
	if err != nil {
		return err
	}
	h, err := host.New(settings, serve.NewLogger(os.Stderr, settings.LogLevel))
	if err != nil {
		return err
	}
	return h.Run()
}

type configCommand struct {
	Check checkCommand `cmd:"" help:"Check a settings file and list every fault."`
	Print printCommand `cmd:"" help:"Print all settings with their values."`
	Table tableCommand `cmd:"" help:"Print the table of settings."`
}

type checkCommand struct {
	File string `arg:"" help:"Settings file."`
	Edge bool   `help:"The file is an edge host's."`
}

// Run checks the file.
func (c *checkCommand) Run() error {
	if err := c.check(); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

func (c *checkCommand) check() error {
	if c.Edge {
		_, err := setup.ReadEdge(c.File)
		return err
	}
	_, err := setup.Read(c.File)
	return err
}

type printCommand struct {
	File string `arg:"" help:"Settings file."`
	Edge bool   `help:"The file is an edge host's."`
}

// Run prints every setting with its value.
func (c *printCommand) Run() error {
	read := setup.Format
	if c.Edge {
		read = setup.FormatEdge
	}
	text, err := read(c.File)
	fmt.Print(text)
	return err
}

type tableCommand struct {
	Edge bool `help:"The settings of an edge host."`
}

// Run prints the settings table.
func (c *tableCommand) Run() error {
	if c.Edge {
		fmt.Print(setup.EdgeTable())
		return nil
	}
	fmt.Print(setup.Table())
	return nil
}
