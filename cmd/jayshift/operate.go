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

// errReverted means that a move was taken back.
var errReverted = merry.Sentinel("move was taken back")

// client returns a client of the operator address, over TLS when an authority is named.
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

// withClient runs f with a client until it ends or the user interrupts.
func (c *commands) withClient(f func(context.Context, *client.Client) error) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	operator, err := c.client()
	if err != nil {
		return err
	}
	return f(ctx, operator)
}

type applyCommand struct {
	Files  []string `arg:"" help:"Resource files, INI or JSON."`
	NoWait bool     `help:"Return once the resources are stored."`
}

// Run writes the resources of all files together.
func (a *applyCommand) Run(c *commands) error {
	var list []wire.Resource
	for _, path := range a.Files {
		some, err := files.Read(path)
		if err != nil {
			return err
		}
		list = append(list, some...)
	}
	return c.withClient(func(ctx context.Context, operator *client.Client) error {
		applied, err := operator.Apply(ctx, list)
		if err != nil {
			return err
		}
		fmt.Printf("stored revision=%d resources=%d\n", applied.Revision, len(list))
		if a.NoWait {
			return nil
		}
		return waitFor(ctx, operator, list[0].Kind, list[0].Name, int(applied.Revision))
	})
}

// waitFor follows a change to its end, printing each state.
func waitFor(ctx context.Context, operator *client.Client, kind, name string, revision int) error {
	last, err := operator.Watch(ctx, kind, name, revision, func(v wire.Verdict) {
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
		return errReverted
	}
	return err
}

type getCommand struct {
	Kind string `arg:"" optional:"" help:"Kind of resource; all when left out."`
	JSON bool   `help:"Print JSON."`
}

// Run prints resources.
func (g *getCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, operator *client.Client) error {
		list, err := operator.List(ctx, g.Kind)
		if err != nil {
			return err
		}
		if g.JSON {
			encoder := json.NewEncoder(os.Stdout)
			encoder.SetIndent("", "  ")
			return merry.Wrap(encoder.Encode(list))
		}
		fmt.Print(files.Print(list))
		return nil
	})
}

type watchCommand struct {
	Kind string `arg:""`
	Name string `arg:""`
}

// Run follows a resource.
func (w *watchCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, operator *client.Client) error {
		return waitFor(ctx, operator, w.Kind, w.Name, 0)
	})
}

// change writes one resource and waits until it is in force.
func (c *commands) change(r wire.Resource) error {
	return c.withClient(func(ctx context.Context, operator *client.Client) error {
		applied, err := operator.Apply(ctx, []wire.Resource{r})
		if err != nil {
			return err
		}
		return waitFor(ctx, operator, r.Kind, r.Name, int(applied.Revision))
	})
}

type deleteCommand struct {
	Kind string `arg:""`
	Name string `arg:""`
}

// Run removes a resource.
func (d *deleteCommand) Run(c *commands) error {
	return c.change(wire.Resource{Kind: d.Kind, Name: d.Name, Deleted: true})
}

type drainCommand struct {
	Kind string `arg:"" enum:"backend-server,availability-zone,region,host" help:"Kind of what is drained."`
	Name string `arg:""`
	End  bool   `help:"Put it back into traffic."`
}

// Run starts or ends a drain.
func (d *drainCommand) Run(c *commands) error {
	return c.change(wire.Resource{
		Kind: config.KindDrain, Name: d.Kind + "." + d.Name, Deleted: d.End, Drain: &wire.Drain{Kind: d.Kind, Target: d.Name},
	})
}

type keyCommands struct {
	Grant    grantCommand    `cmd:"" help:"Make a key for a team; it is shown only once."`
	Withdraw withdrawCommand `cmd:"" help:"Withdraw a key by its name."`
}

type grantCommand struct {
	Team string `arg:""`
	Name string `help:"Name of the key; made up when left out."`
}

// Run makes a key.
func (g *grantCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, operator *client.Client) error {
		granted, err := operator.Grant(ctx, g.Team, g.Name)
		if err != nil {
			return err
		}
		fmt.Printf("name=%s\nkey=%s\n", granted.Name, granted.Key)
		return waitFor(ctx, operator, config.KindKey, granted.Name, int(granted.Revision))
	})
}

type withdrawCommand struct {
	Name string `arg:""`
}

// Run withdraws a key.
func (w *withdrawCommand) Run(c *commands) error {
	return c.change(wire.Resource{Kind: config.KindKey, Name: w.Name, Deleted: true})
}

type hostsCommand struct{}

// Run lists the hosts.
func (h *hostsCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, operator *client.Client) error {
		list, err := operator.Hosts(ctx)
		if err != nil {
			return err
		}
		fmt.Printf("%-16s %-16s %-12s %9s %9s %9s %s\n", "host", "zone", "region", "revision", "in-flight", "headroom", "state")
		for _, v := range list {
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
