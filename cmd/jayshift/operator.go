package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"strings"

	"github.com/ansel1/merry/v2"

	"jayshift/core/config"
	"jayshift/core/wire"
	"jayshift/io/certs"
	"jayshift/io/client"
	"jayshift/io/files"
	"jayshift/io/moves"
)

// errMoveReverted means that the controller reverted a move to a new backend version.
var errMoveReverted = merry.Sentinel("move was reverted")

// client returns a client for the operator address. It uses TLS if Authority is set.
func (c *commands) client() (*client.Client, error) {
	token := ""
	if c.TokenFile != "" {
		data, err := os.ReadFile(c.TokenFile)
		if err != nil {
			return nil, merry.Wrap(err)
		}
		token = strings.TrimSpace(string(data))
	}
	if c.Authority == "" {
		return client.New(c.Operator, token), nil
	}
	roots, err := certs.LoadRoots(c.Authority)
	if err != nil {
		return nil, err
	}
	return client.NewTLS(c.Operator, token, roots), nil
}

// withClient calls f with a client and a context that is canceled by an interrupt signal.
func (c *commands) withClient(f func(context.Context, *client.Client) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	api, err := c.client()
	if err != nil {
		return err
	}
	return f(ctx, api)
}

type applyCommand struct {
	Files  []string `arg:"" help:"Resource files, INI or JSON."`
	NoWait bool     `help:"Return once the resources are stored, before they are in force."`
}

// Run writes the resources of all files with one call, which is atomic if they fit into one transaction. It then waits
// until they are in force, unless NoWait is set.
func (a *applyCommand) Run(c *commands) error {
	var resources []wire.Resource
	for _, path := range a.Files {
		fileResources, err := files.Read(path)
		if err != nil {
			return err
		}
		resources = append(resources, fileResources...)
	}
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		applied, err := api.Apply(ctx, resources)
		if err != nil {
			return err
		}
		fmt.Printf("stored revision=%d resources=%d\n", applied.Revision, len(resources))
		if a.NoWait {
			return nil
		}
		return waitForChange(ctx, api, resources[0].Kind, resources[0].Name, int(applied.Revision))
	})
}

// waitForChange prints each state of a change until the final one. It returns errMoveReverted if that is "reverted". A
// revision of 0 means the newest change of the resource.
func waitForChange(ctx context.Context, api *client.Client, kind, name string, revision int) error {
	last, err := api.Watch(ctx, kind, name, revision, func(v wire.Verdict) {
		fmt.Printf("%s %s state=%s revision=%d", kind, name, v.State, v.Revision)
		if len(v.Waiting) > 0 {
			fmt.Printf(" waiting=%s", strings.Join(v.Waiting, ","))
		}
		if v.Reason != "" {
			fmt.Printf(" reason=%q", v.Reason)
		}
		fmt.Println()
	})
	if err == nil && last.State == moves.Reverted {
		return errMoveReverted
	}
	return err
}

type getCommand struct {
	Kind string `arg:"" optional:"" help:"Kind of resource; all kinds if omitted."`
	JSON bool   `help:"Print JSON."`
}

// Run prints the resources of a kind, or of all kinds, in INI or JSON form.
func (g *getCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		resources, err := api.List(ctx, g.Kind)
		if err != nil {
			return err
		}
		if g.JSON {
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return merry.Wrap(encoder.Encode(resources))
		}
		fmt.Print(files.Format(resources))
		return nil
	})
}

type watchCommand struct {
	Kind string `arg:""`
	Name string `arg:""`
}

// Run prints each state of the newest change of a resource until the final one.
func (w *watchCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		return waitForChange(ctx, api, w.Kind, w.Name, 0)
	})
}

// applyResource writes one resource and waits until it is in force.
func (c *commands) applyResource(r wire.Resource) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		applied, err := api.Apply(ctx, []wire.Resource{r})
		if err != nil {
			return err
		}
		return waitForChange(ctx, api, r.Kind, r.Name, int(applied.Revision))
	})
}

type deleteCommand struct {
	Kind string `arg:""`
	Name string `arg:""`
}

// Run deletes a resource and waits until the deletion is in force.
func (d *deleteCommand) Run(c *commands) error {
	return c.applyResource(wire.Resource{Kind: d.Kind, Name: d.Name, Deleted: true})
}

type drainCommand struct {
	Kind string `arg:"" enum:"backend-server,availability-zone,region,host" help:"Kind of the drained object."`
	Name string `arg:""`
	End  bool   `help:"Put it back into traffic."`
}

// Run starts or ends a drain and waits until the change is in force.
func (d *drainCommand) Run(c *commands) error {
	return c.applyResource(wire.Resource{
		Kind: config.KindDrain, Name: d.Kind + "." + d.Name, Deleted: d.End, Drain: &wire.Drain{Kind: d.Kind, Target: d.Name},
	})
}

type keyCommands struct {
	Grant    grantCommand    `cmd:"" help:"Create a key for a team; it is shown only once."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key by its name."`
}

type grantCommand struct {
	Team string `arg:""`
	Name string `help:"Name of the key; generated if omitted."`
}

// Run creates a key, prints it and waits until it is in force.
func (g *grantCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		granted, err := api.CreateKey(ctx, g.Team, g.Name)
		if err != nil {
			return err
		}
		fmt.Printf("name=%s\nkey=%s\n", granted.Name, granted.Key)
		return waitForChange(ctx, api, config.KindKey, granted.Name, int(granted.Revision))
	})
}

type withdrawCommand struct {
	Name string `arg:""`
}

// Run withdraws a key and waits until the change is in force.
func (w *withdrawCommand) Run(c *commands) error {
	return c.applyResource(wire.Resource{Kind: config.KindKey, Name: w.Name, Deleted: true})
}

type hostsCommand struct{}

// Run prints a table of the hosts. The state "silent" means that the host's seat is marked for revocation.
func (h *hostsCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		hosts, err := api.Hosts(ctx)
		if err != nil {
			return err
		}
		fmt.Printf("%-16s %-16s %-12s %9s %9s %9s %s\n", "host", "zone", "region", "revision", "in-flight", "headroom", "state")
		for _, v := range hosts {
			state := "serving"
			switch {
			case v.Marked:
				state = "silent"
			case v.Draining:
				state = "draining"
			}
			fmt.Printf("%-16s %-16s %-12s %9d %9d %9.2f %s\n", v.Host, v.AvailabilityZone, v.Region, v.Revision, v.InFlight, v.Headroom, state)
		}
		return nil
	})
}
