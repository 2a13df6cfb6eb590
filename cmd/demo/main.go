// Command demo runs a fleet in one process: three entry hosts, a fake store and six fake backend servers in three
// regions. It applies a shift, sends load for loadDuration and exits with status 1 if a guarantee was violated.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/ansel1/merry/v2"

	"jayshift/core/wire"
	"jayshift/internal/fake"
	"jayshift/internal/fleet"
	"jayshift/io/load"
)

const (
	loadDuration   = 15 * time.Second
	warmupDuration = 2 * time.Second
	runTimeout     = 50 * time.Second
	backendSlots   = 6
	deadlineMs     = 3000
	shiftCap       = 200 // requests per second
	shiftCapBurst  = 60  // requests
)

// errGuaranteeViolated means that a request ran more than once, was refused as not run but ran, or reached a backend server
// with an API key, or that slots or the shift's cap were exceeded.
var errGuaranteeViolated = merry.Sentinel("guarantees were violated")

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	checker := fake.NewRateChecker(shiftCap, shiftCapBurst)
	behaviour := fake.Behaviour{
		Slots: backendSlots, Latency: 8 * time.Millisecond, Shed: true, OnStart: func() { checker.Record(time.Now()) },
	}
	f, err := fleet.Start(ctx, fleet.Options{Hosts: 3, Regions: 3, Services: []fleet.Service{
		{Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 3, Behaviour: behaviour, DeadlineMs: deadlineMs},
		{Name: "handover", Versions: []string{"v1"}, BackendsPerVersion: 3, Behaviour: behaviour, DeadlineMs: deadlineMs},
	}})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Println("3 entry hosts and 6 backend servers in 3 regions are ready; applying the shift")
	teams, err := applyShift(ctx, f)
	if err != nil {
		return err
	}
	fmt.Printf("the shift is in force; sending load for %s, without counting the first %s\n", loadDuration, warmupDuration)
	result := load.Run(ctx, load.Plan{
		Seed: 1, Duration: loadDuration, WarmUp: warmupDuration, Teams: teams, Paths: []string{"/whistle", "/handover"},
		WriteShare: 0.3, UploadShare: 0.1, UploadBytes: 200_000, MaxResends: 2, Entries: f.Entries,
	})
	fmt.Print(result.Table())
	return checkGuarantees(f, checker, result)
}

// applyShift writes the resources of the fleet, the teams and the shift, waits until they are in force, and grants a key to
// each team.
func applyShift(ctx context.Context, f *fleet.Fleet) ([]load.Team, error) {
	teams := []load.Team{
		{Name: "north", OfferedRate: 90, RateLimit: 100, Burst: 40},
		{Name: "south", OfferedRate: 45, RateLimit: 50, Burst: 20},
		{Name: "loud", OfferedRate: 150, RateLimit: 30, Burst: 20},
	}
	resources := f.Resources()
	for _, t := range teams {
		resources = append(resources, wire.Resource{Kind: "team", Name: t.Name, Team: &wire.Team{Rate: t.RateLimit, Burst: t.Burst}})
	}
	resources = append(resources, wire.Resource{Kind: "shift", Name: "strike", Shift: &wire.Shift{
		Services: []string{"whistle", "handover"}, Teams: []string{"north", "south", "loud"}, Cap: shiftCap, CapBurst: shiftCapBurst,
	}})
	if err := f.Apply(ctx, resources); err != nil {
		return nil, err
	}
	for i := range teams {
		key, _, err := f.Grant(ctx, teams[i].Name)
		if err != nil {
			return nil, err
		}
		teams[i].Key = key
	}
	return teams, nil
}

// checkGuarantees prints the number of violations of each guarantee and returns errGuaranteeViolated if there were any.
func checkGuarantees(f *fleet.Fleet, checker *fake.RateChecker, result load.Result) error {
	runs, keysSeen, beyondSlots := f.Totals()
	duplicates := len(result.DuplicateExecutions(runs))
	falseNotRun := len(result.FalseNotRun(runs))
	excess, admitted := checker.Excess()
	fmt.Printf("run more than once: %d, refused as not run but run: %d, requests with keys at backend servers: %d, requests beyond slots: %d\n",
		duplicates, falseNotRun, keysSeen, beyondSlots)
	fmt.Printf("requests started under the shift's cap: %d, at most %.1f above it in any window\n", admitted, excess)
	if duplicates+falseNotRun+keysSeen+beyondSlots > 0 || excess > 0 {
		return errGuaranteeViolated
	}
	return nil
}
