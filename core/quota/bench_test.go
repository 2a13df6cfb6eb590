package quota_test

import (
	"fmt"
	"testing"
	"time"

	"jayshift/core/ident"
	"jayshift/core/quota"
)

// BenchmarkPeerReport measures one usage report of a peer at the given number of hosts, with 190 teams of which each host
// reports five.
func BenchmarkPeerReport(b *testing.B) {
	const teams, reported = 190, 5
	for _, hosts := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			now := time.Now()
			l := quota.New(time.Second, 2*time.Second, 20)
			rates := map[ident.Team]quota.Rate{}
			for i := range teams {
				rates[teamName(i)] = quota.Rate{PerSecond: 50, Burst: 50}
			}
			l.SetRates(now, rates)
			var peers []ident.Host
			for i := range hosts - 1 {
				peers = append(peers, ident.Host(fmt.Sprintf("h%d", i)))
			}
			l.SetPeers(now, peers)
			usage := make([]map[ident.Team]quota.Usage, len(peers))
			for i := range peers {
				usage[i] = map[ident.Team]quota.Usage{}
				for j := range reported {
					usage[i][teamName((i+j)%teams)] = quota.Usage{Demand: 3, Admitted: 10}
				}
			}
			for i := 0; b.Loop(); i++ {
				l.RecordPeerUsage(now, peers[i%len(peers)], usage[i%len(peers)])
			}
		})
	}
}

func teamName(i int) ident.Team { return ident.Team(fmt.Sprintf("team-%d", i)) }
