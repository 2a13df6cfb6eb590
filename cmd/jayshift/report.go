package main

import (
	"context"
	"fmt"

	"jayshift/core/config"
	"jayshift/io/client"
	"jayshift/io/report"
)

type reportCommand struct {
	Burn burnCommand `cmd:"" help:"Error-budget burn by service, team and shift."`
}

type burnCommand struct {
	Admins []string `help:"Admin addresses of all entry hosts." required:""`
	Format string   `help:"Format of the report." enum:"text,json,html" default:"text"`
}

// Run prints the error-budget burn against the availability targets in the service resources. Entry hosts that cannot be
// read are listed in the report; it returns report.ErrNoEntry if none can be read.
func (b *burnCommand) Run(c *commands) error {
	return c.withClient(func(ctx context.Context, api *client.Client) error {
		services, err := api.List(ctx, config.KindService)
		if err != nil {
			return err
		}
		targets := map[string]float64{}
		for _, s := range services {
			targets[s.Name] = s.Service.TargetAvailability
		}
		r, err := report.Read(ctx, b.Admins, targets)
		text, formatErr := b.format(r)
		fmt.Print(text)
		if err != nil {
			return err
		}
		return formatErr
	})
}

func (b *burnCommand) format(r report.Report) (string, error) {
	switch b.Format {
	case "json":
		return r.JSON()
	case "html":
		return r.HTML()
	}
	return r.Text(), nil
}
