// Command demo runs the whole path on embedded stand-ins: a store, six backend servers in three regions,
// three entry hosts, a duty shift, and a load that ends by itself.
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
	loadTime  = 15 * time.Second
	warmTime  = 2 * time.Second
	demoLimit = 50 * time.Second
	slots     = 6
	deadline  = 3000 // milliseconds
	shiftCap  = 200  // requests a second
	capBurst  = 60   // requests
)

// errViolated means that a promise did not hold.
var errViolated = merry.Sentinel("promises were violated")

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context) error {
	ledger := fake.NewRateChecker(shiftCap, capBurst)
	act := fake.Behaviour{
		Slots: slots, Latency: 8 * time.Millisecond, Shed: true, OnStart: func() { ledger.Record(time.Now()) },
	}
	f, err := fleet.Start(ctx, fleet.Options{Hosts: 3, Regions: 3, Services: []fleet.Service{
		{Name: "whistle", Versions: []string{"v1"}, BackendsPerVersion: 3, Behaviour: act, DeadlineMs: deadline},
		{Name: "handover", Versions: []string{"v1"}, BackendsPerVersion: 3, Behaviour: act, DeadlineMs: deadline},
	}})
	if err != nil {
		return err
	}
	defer f.Close()
	fmt.Println("3 entry hosts serve 6 backend servers in 3 regions; applying the duty shift")
	teams, err := apply(ctx, f)
	if err != nil {
		return err
	}
	fmt.Printf("the shift is in force; sending load for %s, the first %s not counted\n", loadTime, warmTime)
	result := load.Run(ctx, load.Plan{
		Seed: 1, Duration: loadTime, WarmUp: warmTime, Teams: teams, Paths: []string{"/whistle", "/handover"},
		WriteShare: 0.3, UploadShare: 0.1, UploadBytes: 200_000, MaxResends: 2, Entries: f.Entries,
	})
	fmt.Print(result.Table())
	return verdict(f, ledger, result)
}

// apply writes the shift and grants a key to each team.
func apply(ctx context.Context, f *fleet.Fleet) ([]load.Team, error) {
	teams := []load.Team{
		{Name: "north", OfferedRate: 90, RateLimit: 100, Burst: 40},
		{Name: "south", OfferedRate: 45, RateLimit: 50, Burst: 20},
		{Name: "loud", OfferedRate: 150, RateLimit: 30, Burst: 20},
	}
	list := f.Resources()
	for _, t := range teams {
		list = append(list, wire.Resource{Kind: "team", Name: t.Name, Team: &wire.Team{Rate: t.RateLimit, Burst: t.Burst}})
	}
	list = append(list, wire.Resource{Kind: "shift", Name: "strike", Shift: &wire.Shift{
		Services: []string{"whistle", "handover"}, Teams: []string{"north", "south", "loud"}, Cap: shiftCap, CapBurst: capBurst,
	}})
	if err := f.Apply(ctx, list); err != nil {
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

// verdict prints what was violated and returns an error when anything was.
func verdict(f *fleet.Fleet, ledger *fake.RateChecker, result load.Result) error {
	runs, keys, over := f.Totals()
	doubled := len(result.DuplicateExecutions(runs))
	untrue := len(result.FalseNotRun(runs))
	beyond, carried := ledger.Excess()
	fmt.Printf("run twice: %d, refused as not run but run: %d, keys seen by backend servers: %d, requests beyond slots: %d\n",
		doubled, untrue, keys, over)
	fmt.Printf("carried under the shift's cap: %d, at most %.1f beyond it in any window\n", carried, beyond)
	if doubled+untrue+keys+over > 0 || beyond > 0 {
		return errViolated
	}
	return nil
}
