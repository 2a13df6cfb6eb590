package node

import (
	"context"
	"maps"
	"math"
	"slices"
	"time"

	"jayshift/core/room"
	"jayshift/io/ticker"
)

const (
	// regionLogInterval is the interval between two log lines about the regions in which requests run.
	regionLogInterval = time.Second
	planLogInterval   = 5 * time.Second // between two log lines about the plan of the regions, at least
	planLogChange     = 0.05            // of the maximum home share, below which it is not logged again
)

// logRegions logs periodically how many requests ran in each region, and why, until ctx ends.
func (n *Node) logRegions(ctx context.Context) {
	ticker.Every(ctx, regionLogInterval, func() {
		counts := n.balancer.TakeRuns()
		if len(counts) == 0 {
			return
		}
		attributes := make([]any, 0, 2*len(counts))
		for _, c := range counts {
			attributes = append(attributes, string(c.Region)+"-"+string(c.Cause), c.Runs)
		}
		n.log.Info("regions of requests", attributes...)
	})
}

// logPlan logs the plan of the regions when it has changed, until ctx ends.
func (n *Node) logPlan(ctx context.Context) {
	regions := n.balancer.Regions()
	if !regions.Plans() {
		return
	}
	logged, wasKnown := room.Division{Home: 1}, false
	ticker.Every(ctx, planLogInterval, func() {
		plan, known := regions.Plan(time.Now())
		if known == wasKnown && math.Abs(plan.Home-logged.Home) < planLogChange {
			return
		}
		logged, wasKnown = plan, known
		if !known {
			n.log.Info("no plan of regions, demand of a region not known")
			return
		}
		attributes := []any{"most-home", percent(plan.Home), "home", percent(regions.HomeShare())}
		for _, region := range slices.Sorted(maps.Keys(plan.Others)) {
			attributes = append(attributes, "rest-"+string(region), percent(plan.Others[region]))
		}
		n.log.Info("plan of regions", attributes...)
	})
}

// percent returns a share in hundredths.
func percent(share float64) int { return int(math.Round(100 * share)) }

// homePlan returns the maximum share of requests that may run in this host's region by the plan, 1 without a plan.
func (n *Node) homePlan() float64 {
	if plan, ok := n.balancer.Regions().Plan(time.Now()); ok {
		return plan.Home
	}
	return 1
}
