package model_test

import (
	"testing"
	"time"

	"jayshift/core/model"
	"jayshift/core/place"
)

const numSeeds = 3

// meanCredit runs the scenario on all seeds and returns the mean credit and the summed counts of the results.
func meanCredit(s model.Scenario, p model.Policy) (credit float64, sum model.Result) {
	for seed := range uint64(numSeeds) {
		r := model.Run(s, p, seed)
		credit += r.Credit / numSeeds
		sum.Requests += r.Requests
		sum.InTarget += r.InTarget
		sum.Late += r.Late
		sum.Refused += r.Refused
		sum.Failed += r.Failed
		sum.WarmRuns += r.WarmRuns
		sum.Runs += r.Runs
	}
	return credit, sum
}

// TestSameSeedSameResult guards against nondeterministic runs: policies are compared on the same seeds, so a seed must
// always give the same result.
func TestSameSeedSameResult(t *testing.T) {
	for _, p := range model.Policies() {
		if a, b := model.Run(model.HeavyLoad(), p, 7), model.Run(model.HeavyLoad(), p, 7); a != b {
			t.Errorf("%s: %+v and %+v", p.Name, a, b)
		}
	}
}

// TestHeavyLoad compares the production policy with the others under the load that fills most slots.
func TestHeavyLoad(t *testing.T) {
	chosen, sum := meanCredit(model.HeavyLoad(), model.Production())
	t.Logf("chosen: credit %.3f, in target %.3f, refused %.3f, warm %.3f", chosen, sum.Share(sum.InTarget), sum.Share(sum.Refused), sum.WarmShare())
	for _, p := range []model.Policy{model.Random(), model.LeastLoaded(), model.Rendezvous()} {
		other, r := meanCredit(model.HeavyLoad(), p)
		t.Logf("%s: credit %.3f, in target %.3f, failed %.3f, warm %.3f", p.Name, other, r.Share(r.InTarget), r.Share(r.Failed), r.WarmShare())
		if chosen <= other {
			t.Errorf("%s gives %.3f, the production policy %.3f", p.Name, other, chosen)
		}
	}
	if sum.WarmShare() < 0.85 {
		t.Errorf("%.3f of the runs found their object cached", sum.WarmShare())
	}
}

// TestStrayRuns guards the rule that a server may run an object that is not assigned to it only while at most half
// of its slots are in use. Without the rule, cold runs fill the slots of a service that has too few servers, and the
// credit falls.
func TestStrayRuns(t *testing.T) {
	s := model.HeavyLoad()
	s.Rate, s.Servers = 240, []int{1, 3, 3}
	anywhereWeights := place.DefaultWeights()
	anywhereWeights.UnassignedShare = 1 + anywhereWeights.QueuePerSlot
	strict, _ := meanCredit(s, model.Production())
	anywhere, _ := meanCredit(s, model.WithWeights("anywhere", anywhereWeights))
	t.Logf("strict %.3f, anywhere %.3f", strict, anywhere)
	if strict <= anywhere {
		t.Errorf("strict gives %.3f, anywhere %.3f", strict, anywhere)
	}
}

// TestSlowServer makes one server of each region five times slower. The production policy must route requests to other
// servers and so beat rendezvous hashing, which does not.
func TestSlowServer(t *testing.T) {
	s := model.HeavyLoad()
	s.Rate, s.SlowStart, s.SlowFactor = 100, 10*time.Second, 5
	chosen, _ := meanCredit(s, model.Production())
	rendezvous, _ := meanCredit(s, model.Rendezvous())
	t.Logf("chosen %.3f, rendezvous %.3f", chosen, rendezvous)
	if chosen <= rendezvous {
		t.Errorf("chosen gives %.3f, rendezvous %.3f", chosen, rendezvous)
	}
}
