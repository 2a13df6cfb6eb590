// Command jayshift runs entry hosts and edge hosts, and is the command-line client for operators.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// commands declares the global flags and the subcommands for kong, which derives their names from the field names.
type commands struct {
	Operator  string `help:"Operator address of an entry host." default:"127.0.0.1:7101" env:"JAYSHIFT_OPERATOR"`
	TokenFile string `help:"File with the operator token." type:"existingfile" env:"JAYSHIFT_TOKEN_FILE"`
	Authority string `help:"PEM file of the certificate authorities that the host's certificate is checked against; enables TLS." type:"existingfile" env:"JAYSHIFT_AUTHORITY"`

	Entry   entryCommand   `cmd:"" help:"Run an entry host."`
	Edge    edgeCommand    `cmd:"" help:"Run an edge host, for a platform whose operators write to the store directly."`
	Apply   applyCommand   `cmd:"" help:"Write resources from files, all or none, and wait until they are in force."`
	Get     getCommand     `cmd:"" help:"Print resources."`
	Watch   watchCommand   `cmd:"" help:"Follow a resource until it is in force, done or reverted."`
	Delete  deleteCommand  `cmd:"" help:"Remove a resource."`
	Drain   drainCommand   `cmd:"" help:"Take a backend server, availability zone, region or host out of traffic, or put it back."`
	Key     keyCommands    `cmd:"" help:"Grant and withdraw caller keys."`
	Hosts   hostsCommand   `cmd:"" help:"List the hosts of the fleet."`
	Config  configCommand  `cmd:"" help:"Check or print settings."`
	Explain explainCommand `cmd:"" help:"Explain from the logs of all hosts how a request ended, or list changes."`
	Model   modelCommand   `cmd:"" help:"Simulate a load in virtual time and compare load-balancing policies."`
	Report  reportCommand  `cmd:"" help:"Report on service-level objectives."`
	Load    loadCommand    `cmd:"" help:"Send a seeded open-loop load and report the outcomes of its requests."`
	Help    helpCommand    `cmd:"" help:"Show a help page."`
}

func main() {
	var c commands
	parsed := kong.Parse(&c, kong.Name("jayshift"), kong.UsageOnError(),
		kong.Description("Global traffic steering for operators who guarantee callers a minimum level of service."))
	if err := parsed.Run(&c); err != nil {
		parsed.Errorf("%s", err)
		os.Exit(exitCode(err))
	}
}
