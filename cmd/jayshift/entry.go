package main

import (
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"jayshift/io/host"
	"jayshift/io/serve"
	"jayshift/io/setup"
)

const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// exitCode returns the exit status of the process: exitInvalidSettings if err wraps setup.ErrInvalid, otherwise
// exitFailure.
func exitCode(err error) int {
	if errors.Is(err, setup.ErrInvalid) {
		return exitInvalidSettings
	}
	return exitFailure
}

type entryCommand struct {
	Config string `help:"Settings file in INI form." required:""`
}

// Run serves requests until a signal stops the process.
func (c *entryCommand) Run() error {
	settings, err := setup.Read(c.Config)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(serve.RuntimeMemory(settings.MemoryMB))
	h, err := host.New(settings, serve.NewLogger(os.Stderr, settings.LogLevel))
	if err != nil {
		return err
	}
	return h.Run()
}

type configCommand struct {
	Check checkCommand `cmd:"" help:"Check a settings file and list all errors."`
	Print printCommand `cmd:"" help:"Print all settings with their values."`
	Table tableCommand `cmd:"" help:"Print the table of settings."`
}

type checkCommand struct {
	File string `arg:"" help:"Settings file."`
	Edge bool   `help:"The file is for an edge host."`
}

// Run reports all errors in the settings file.
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
	Edge bool   `help:"The file is for an edge host."`
}

// Run prints all settings with their values.
func (c *printCommand) Run() error {
	printSettings := setup.Format
	if c.Edge {
		printSettings = setup.FormatEdge
	}
	text, err := printSettings(c.File)
	fmt.Print(text)
	return err
}

type tableCommand struct {
	Edge bool `help:"Print the settings of an edge host."`
}

// Run prints the table of settings with their defaults and descriptions.
func (c *tableCommand) Run() error {
	if c.Edge {
		fmt.Print(setup.EdgeTable())
		return nil
	}
	fmt.Print(setup.Table())
	return nil
}
