package quota_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/quota"
)

// TestTeamsWithoutDemandAreNotReportedOnAndOn checks that a team leaves a host's reports once it has no demand, and that what
// it had used is not forgotten by the peers.
func TestTeamsWithoutDemandAreNotReportedOnAndOn(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	rates := map[ident.Team]quota.Rate{"north": {PerSecond: 10, Burst: 100}, "south": {PerSecond: 10, Burst: 100}}
	newHost := func(peer ident.Host) *quota.Limiter {
		l := quota.New(time.Second, 2*time.Second, 0)
		l.SetPeers(now, []ident.Host{peer})
		l.SetRates(now, rates)
		return l
	}
	a, b := newHost("b"), newHost("a")
	names, _ := a.TeamNames()
	report := func() []int {
		now = now.Add(500 * time.Millisecond)
		list := quota.Encode(names, a.ReportUsage(now))
		a.RecordPeerUsage(now, "b", quota.Decode(names, quota.Encode(names, b.ReportUsage(now))))
		b.RecordPeerUsage(now, "a", quota.Decode(names, list))
		return list
	}
	for range 4 {
		report()
	}
	use := func() int {
		admitted := 0
		for range 60 {
			if ok, _ := a.Take(now, "north"); ok {
				admitted++
			}
		}
		return admitted
	}
	is.True(use() > 0)
	is.True(len(report()) > 0)
	for range 40 {
		report()
	}
	is.Equal(len(report()), 0) // nothing is reported without demand
	used := use()
	is.True(used > 0)
	report()
	admitted := 0
	for range 100 {
		if ok, _ := b.Take(now, "north"); ok {
			admitted++
		}
	}
	t.Logf("%d used at one host, %d at the other", used, admitted)
	is.True(used+admitted <= 100+20) // the burst, and what 2 s of the rate add
}
