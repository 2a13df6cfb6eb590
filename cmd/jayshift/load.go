package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/io/help"
	"jayshift/io/load"
)

type loadCommand struct {
	Entries []string      `help:"Caller addresses of entry hosts." required:""`
	Teams   []string      `help:"Teams as name:key:requests-a-second[:rate:burst]; rate and burst are the team's limit, to count refusals within it separately." required:""`
	Paths   []string      `help:"Path prefixes of the services." required:""`
	Length  time.Duration `help:"Time for which requests are sent." default:"10s"`
	Seed    uint64        `help:"Seed of the random load." default:"1"`
	Write   float64       `help:"Share of non-idempotent requests." default:"0.2"`
	Upload  float64       `help:"Share of uploads among the non-idempotent requests." default:"0"`
	Bytes   int           `help:"Size of an upload in bytes." default:"200000"`
	Skew    float64       `help:"Share of requests sent only to the first entry host; the others are spread evenly." default:"0"`
}

// Run sends the load and prints the outcomes by team.
func (l *loadCommand) Run() error {
	plan := load.Plan{
		Seed: l.Seed, Duration: l.Length, Paths: l.Paths, WriteShare: l.Write, UploadShare: l.Upload, UploadBytes: l.Bytes,
		Skew: l.Skew, MaxResends: 2, Entries: func() []string { return l.Entries },
	}
	for _, text := range l.Teams {
		team, err := parseTeam(text)
		if err != nil {
			return err
		}
		plan.Teams = append(plan.Teams, team)
	}
	fmt.Print(load.Run(context.Background(), plan).Table())
	return nil
}

// parseTeam parses a value of the --teams flag.
func parseTeam(text string) (load.Team, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 3 && len(parts) != 5 {
		return load.Team{}, merry.Errorf("team %q must be name:key:requests-a-second[:rate:burst]", text)
	}
	team := load.Team{Name: parts[0], Key: parts[1]}
	for i, field := range []*float64{&team.OfferedRate, &team.RateLimit, &team.Burst}[:len(parts)-2] {
		value, err := strconv.ParseFloat(parts[i+2], 64)
		if err != nil || value < 0 {
			return load.Team{}, merry.Errorf("team %q: %q is not a non-negative number", team.Name, parts[i+2])
		}
		*field = value
	}
	return team, nil
}

type helpCommand struct {
	Page string `arg:"" optional:"" help:"Page to show; lists the pages if omitted."`
}

// Run prints a help page, or the list of pages.
func (h *helpCommand) Run() error {
	text, err := help.Page(h.Page)
	fmt.Print(text)
	return err
}
