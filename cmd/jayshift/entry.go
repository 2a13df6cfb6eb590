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
	h, err := host.New(settings, serve.NewLog(os.Stderr, settings.Level))
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
}

// Run checks the file.
func (c *checkCommand) Run() error {
	if _, err := setup.Read(c.File); err != nil {
		return err
	}
	fmt.Println("settings are valid")
	return nil
}

type printCommand struct {
	File string `arg:"" help:"Settings file."`
}

// Run prints every setting with its value.
func (c *printCommand) Run() error {
	text, err := setup.Print(c.File)
	fmt.Print(text)
	return err
}

type tableCommand struct{}

// Run prints the settings table.
func (c *tableCommand) Run() error {
	fmt.Print(setup.Table())
	return nil
}
