package relay_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"jayshift/core/ident"
	"jayshift/core/relay"
)

// fleet returns hosts spread over nine zones of three regions.
func fleet(n int) []relay.Host {
	hosts := make([]relay.Host, n)
	for i := range hosts {
		zone := i % 9
		hosts[i] = relay.Host{
			Name: ident.Host(fmt.Sprintf("h%d", i)), Zone: ident.AvailabilityZone(fmt.Sprintf("z%d", zone)),
			Region: ident.Region(fmt.Sprintf("r%d", zone%3)),
		}
	}
	return hosts
}

// TestSmallFleetIsMesh checks that every host of a small fleet is linked with every other.
func TestSmallFleetIsMesh(t *testing.T) {
	is := is.New(t)
	hosts := fleet(20)
	for _, h := range hosts {
		p := relay.New(h, hosts)
		is.True(p.IsRelay)
		is.Equal(len(p.Links), len(hosts)-1)
	}
}

// TestEveryHostIsReached checks, for fleets of several sizes, that a message of any host reaches all others in at most
// three hops, and how many links a host has.
func TestEveryHostIsReached(t *testing.T) {
	for _, n := range []int{30, 100, 300, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			hosts := fleet(n)
			plans := map[ident.Host]relay.Plan{}
			links, maxLinks := 0, 0
			members := map[ident.Host]int{} // hosts by the relay that they send to
			for _, h := range hosts {
				p := relay.New(h, hosts)
				plans[h.Name] = p
				links += len(p.Links)
				maxLinks = max(maxLinks, len(p.Links))
				if !p.IsRelay {
					members[p.Uplinks[0]]++
				}
			}
			for _, h := range hosts {
				p := plans[h.Name]
				at := h.Name
				if !p.IsRelay {
					at = p.Uplinks[0]
					is.True(plans[at].IsRelay)
				}
				reached := append(slices.Clone(plans[at].Links), at) // all relays, each of which reaches its members
				relays := 0
				for name, other := range plans {
					if other.IsRelay {
						relays++
						is.True(slices.Contains(reached, name))
					}
				}
				is.Equal(len(reached), relays)
			}
			most := 0
			for _, count := range members {
				most = max(most, count)
			}
			t.Logf("%d hosts: %.1f links dialled by a host, at most %d; at most %d hosts at a relay", n, float64(links)/float64(n), maxLinks, most)
			is.True(maxLinks <= 120)
			is.True(most <= 30)
		})
	}
}

// TestLostRelay checks that the loss of a relay changes the relays of its zone only, and that its members have another.
func TestLostRelay(t *testing.T) {
	is := is.New(t)
	hosts := fleet(300)
	member := hosts[slices.IndexFunc(hosts, func(h relay.Host) bool { return !relay.New(h, hosts).IsRelay })]
	before := relay.New(member, hosts)
	lost := before.Uplinks[0]
	after := relay.New(member, slices.DeleteFunc(slices.Clone(hosts), func(h relay.Host) bool { return h.Name == lost }))
	is.True(!slices.Contains(after.Links, lost))
	changed := 0
	for _, name := range after.Links {
		if !slices.Contains(before.Links, name) {
			changed++
		}
	}
	is.True(changed <= 1)
	zones := map[ident.Host]ident.AvailabilityZone{}
	for _, h := range hosts {
		zones[h.Name] = h.Zone
	}
	is.Equal(zones[after.Uplinks[0]], member.Zone)
}
