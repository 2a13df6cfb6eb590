package model_test

import (
	"testing"
	"time"

	"jayshift/core/model"
	"jayshift/core/place"
)

const seeds = 3

// mean plays a scenario on all seeds and returns the mean credit, and the sum of the results.
func mean(s model.Scenario, p model.Policy) (credit float64, sum model.Result) {
	for seed := range uint64(seeds) {
		r := model.Run(s, p, seed)
		credit += r.Credit / seeds
		sum.Asked += r.Asked
		sum.InAim += r.InAim
		sum.Late += r.Late
		sum.Refused += r.Refused
		sum.Failed += r.Failed
		sum.Warm += r.Warm
		sum.Runs += r.Runs
	}
	return credit, sum
}

// TestSameSeedSameResult guards the comparison of policies on the same seeds.
func TestSameSeedSameResult(t *testing.T) {
	for _, p := range model.Policies() {
		if a, b := model.Run(model.Heavy(), p, 7), model.Run(model.Heavy(), p, 7); a != b {
			t.Errorf("%s: %+v and %+v", p.Name, a, b)
		}
	}
}

// TestHeavyLoad compares the chosen way with the others on the load that fills most slots.
func TestHeavyLoad(t *testing.T) {
	chosen, sum := mean(model.Heavy(), model.Chosen())
	t.Logf("chosen: credit %.3f, in aim %.3f, refused %.3f, warm %.3f", chosen, sum.Share(sum.InAim), sum.Share(sum.Refused), sum.WarmShare())
	for _, p := range []model.Policy{model.Random(), model.LeastLoaded(), model.Rendezvous()} {
		other, r := mean(model.Heavy(), p)
		t.Logf("%s: credit %.3f, in aim %.3f, failed %.3f, warm %.3f", p.Name, other, r.Share(r.InAim), r.Share(r.Failed), r.WarmShare())
		if chosen <= other {
			t.Errorf("%s gives %.3f, the chosen way %.3f", p.Name, other, chosen)
		}
	}
	if sum.WarmShare() < 0.85 {
		t.Errorf("%.3f of the runs found their object remembered", sum.WarmShare())
	}
}

// TestStrayRuns shows why objects run elsewhere only on half-free servers: without that, cold runs fill the slots of a
// service that is short of servers.
func TestStrayRuns(t *testing.T) {
	s := model.Heavy()
	s.Rate, s.Servers = 240, []int{1, 3, 3}
	loose := place.DefaultWeights()
	loose.UnassignedShare = 1 + loose.QueuePerSlot
	strict, _ := mean(s, model.Chosen())
	anywhere, _ := mean(s, model.Weighted("anywhere", loose))
	t.Logf("strict %.3f, anywhere %.3f", strict, anywhere)
	if strict <= anywhere {
		t.Errorf("strict gives %.3f, anywhere %.3f", strict, anywhere)
	}
}

// TestSlowServer lets one server of each region take five times as long; requests go around it.
func TestSlowServer(t *testing.T) {
	s := model.Heavy()
	s.Rate, s.SlowFrom, s.SlowTimes = 100, 10*time.Second, 5
	slow, _ := mean(s, model.Chosen())
	plain, _ := mean(s, model.Rendezvous())
	t.Logf("chosen %.3f, rendezvous %.3f", slow, plain)
	if slow <= plain {
		t.Errorf("chosen gives %.3f, rendezvous %.3f", slow, plain)
	}
}
