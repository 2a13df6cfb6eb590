// Command jayshift runs an entry host and is the operators' command line.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// commands is the command line.
type commands struct {
	Operator  string `help:"Operator address of an entry host." default:"127.0.0.1:7101" env:"JAYSHIFT_OPERATOR"`
	TokenFile string `help:"File with the operator token." type:"existingfile" env:"JAYSHIFT_TOKEN_FILE"`
	Authority string `help:"PEM file of the authorities to check the host's certificate against; turns TLS on." type:"existingfile" env:"JAYSHIFT_AUTHORITY"`

	Entry   entryCommand   `cmd:"" help:"Run an entry host."`
	Edge    edgeCommand    `cmd:"" help:"Run an edge host, on a platform where operators write to the store themselves."`
	Apply   applyCommand   `cmd:"" help:"Write resources from files, all or none, and wait until they are in force."`
	Get     getCommand     `cmd:"" help:"Print resources."`
	Watch   watchCommand   `cmd:"" help:"Follow a resource until it is in force, done or reverted."`
	Delete  deleteCommand  `cmd:"" help:"Remove a resource."`
	Drain   drainCommand   `cmd:"" help:"Take something out of traffic, or put it back."`
	Key     keyCommands    `cmd:"" help:"Grant and withdraw caller keys."`
	Hosts   hostsCommand   `cmd:"" help:"List the hosts of the fleet."`
	Config  configCommand  `cmd:"" help:"Check or print settings."`
	Explain explainCommand `cmd:"" help:"Tell from the logs of all hosts what became of a request, or what changed."`
	Model   modelCommand   `cmd:"" help:"Play a load in virtual time, and compare ways to place requests."`
	Report  reportCommand  `cmd:"" help:"Report on service levels."`
	Load    loadCommand    `cmd:"" help:"Send a seeded open-loop load and report what became of it."`
	Help    helpCommand    `cmd:"" help:"Show a help page."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("jayshift"), kong.UsageOnError(),
		kong.Description("Global traffic steering for operators who owe callers a minimum service."))
	if err := parsed.Run(&c); err != nil {
		parsed.Errorf("%s", err)
		os.Exit(exitCode(err))
	}
}
