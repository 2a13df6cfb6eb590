package config_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"jayshift/core/config"
	"jayshift/core/ident"
	"jayshift/core/wire"
)

const (
	numBlocks         = 380_000
	numSites          = 49
	blocksPerResource = 8192
)

// blockResources returns resources with n client blocks, distributed over numSites sites.
func blockResources(n int) []wire.Resource {
	list := []wire.Resource{
		{Kind: "region", Name: "r", Region: &wire.Region{}},
		{Kind: "availability-zone", Name: "z", AvailabilityZone: &wire.AvailabilityZone{Region: "r"}},
	}
	for i := range numSites {
		list = append(list, wire.Resource{Kind: "site", Name: fmt.Sprintf("s%d", i), Site: &wire.Site{AvailabilityZone: "z"}})
	}
	blocks := map[string]string{}
	for i := range n {
		a := netip.AddrFrom4([4]byte{byte(1 + i>>16), byte(i >> 8), byte(i), 0})
		blocks[fmt.Sprintf("%s/24", a)] = fmt.Sprintf("s%d", i%numSites)
		if len(blocks) == blocksPerResource || i == n-1 {
			list = append(list, wire.Resource{
				Kind: "client-blocks", Name: fmt.Sprintf("c%d", i/blocksPerResource), ClientBlocks: &wire.ClientBlocks{Blocks: blocks},
			})
			blocks = map[string]string{}
		}
	}
	return list
}

// TestSiteForMatchesLinearScan compares the lookup in the prefix table with a linear scan over all prefixes.
func TestSiteForMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks := map[string]string{}
		prefixes := map[netip.Prefix]string{}
		for i := range rapid.IntRange(0, 30).Draw(t, "blocks") {
			a := netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "a")), byte(rapid.IntRange(0, 3).Draw(t, "b")), byte(i)})
			p := netip.PrefixFrom(a, rapid.IntRange(6, 32).Draw(t, "bits")).Masked()
			site := fmt.Sprintf("s%d", rapid.IntRange(0, 5).Draw(t, "site"))
			blocks[p.String()], prefixes[p] = site, site
		}
		s := config.New(1, []wire.Resource{{Kind: "client-blocks", Name: "c", ClientBlocks: &wire.ClientBlocks{Blocks: blocks}}})
		client := netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "c")), byte(rapid.IntRange(0, 3).Draw(t, "d")), byte(rapid.IntRange(0, 30).Draw(t, "e"))})
		want, bits := "", -1
		for p, site := range prefixes {
			if p.Contains(client) && p.Bits() > bits {
				want, bits = site, p.Bits()
			}
		}
		got, _, _ := s.SiteFor(client)
		if string(got) != want {
			t.Fatalf("site of %s is %q, want %q", client, got, want)
		}
	})
}

// TestWithMatchesNew compares a snapshot built by successive changes with one built from the final resources.
func TestWithMatchesNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := config.New(0, nil)
		all := map[string]wire.Resource{}
		for i := range rapid.IntRange(1, 40).Draw(t, "changes") {
			name := fmt.Sprintf("t%d", rapid.IntRange(0, 5).Draw(t, "name"))
			r := wire.Resource{Kind: "team", Name: name, Revision: i + 1, Team: &wire.Team{Rate: float64(i), Burst: 1}}
			r.Deleted = rapid.IntRange(0, 3).Draw(t, "delete") == 0
			delete(all, name)
			if !r.Deleted {
				all[name] = r
			}
			s = s.With(ident.Revision(i+1), []wire.Resource{r})
		}
		var list []wire.Resource
		for _, r := range all {
			list = append(list, r)
		}
		if a, b := fmt.Sprint(s.Resources()), fmt.Sprint(config.New(s.Revision, list).Resources()); len(a) != len(b) {
			t.Fatalf("successive changes gave %s, want %s", a, b)
		}
	})
}

// TestCheck applies one invalid change at a time; Check must reject each.
func TestCheck(t *testing.T) {
	base := config.New(1, []wire.Resource{
		{Kind: "region", Name: "r", Region: &wire.Region{}},
		{Kind: "availability-zone", Name: "z", AvailabilityZone: &wire.AvailabilityZone{Region: "r"}},
		{Kind: "service", Name: "s", Service: &wire.Service{Prefix: "/s"}},
	})
	for name, r := range map[string]wire.Resource{
		"no content":       {Kind: "team", Name: "t"},
		"unknown kind":     {Kind: "teem", Name: "t"},
		"bad name":         {Kind: "team", Name: "T!", Team: &wire.Team{Rate: 1, Burst: 1}},
		"no rate":          {Kind: "team", Name: "t", Team: &wire.Team{Burst: 1}},
		"unknown service":  {Kind: "shift", Name: "x", Shift: &wire.Shift{Services: []string{"none"}}},
		"no services":      {Kind: "shift", Name: "x", Shift: &wire.Shift{}},
		"no version":       {Kind: "shift", Name: "x", Shift: &wire.Shift{Services: []string{"s"}, Versions: map[string]string{"s": "v2"}, By: "2026-12-04T00:00:00Z"}},
		"by is no time":    {Kind: "shift", Name: "x", Shift: &wire.Shift{Services: []string{"s"}, By: "soon"}},
		"reserved prefix":  {Kind: "service", Name: "x", Service: &wire.Service{Prefix: "/v1/steer"}},
		"host name":        {Kind: "backend-server", Name: "b", BackendServer: &wire.BackendServer{Service: "s", Version: "v", AvailabilityZone: "z", Address: "localhost:1", Slots: 1}},
		"no slots":         {Kind: "backend-server", Name: "b", BackendServer: &wire.BackendServer{Service: "s", Version: "v", AvailabilityZone: "z", Address: "127.0.0.1:1"}},
		"region in use":    {Kind: "region", Name: "r", Deleted: true},
		"not a prefix":     {Kind: "client-blocks", Name: "c", ClientBlocks: &wire.ClientBlocks{Blocks: map[string]string{"10.0.0.0": "x"}}},
		"drain of nothing": {Kind: "drain", Name: "d", Drain: &wire.Drain{Kind: "team", Target: "t"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(errors.Is(config.Check(base, []wire.Resource{r}), config.ErrInvalid))
		})
	}
}

// BenchmarkSiteFor looks up random addresses among 380,000 client blocks. It reports the heap that the snapshot takes,
// without (MB-table) and with (MB-whole) the resources that it is built from.
func BenchmarkSiteFor(b *testing.B) {
	var empty, before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&empty)
	list := blockResources(numBlocks)
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := config.New(1, list)
	runtime.GC()
	runtime.ReadMemStats(&after)
	clients := make([]netip.Addr, 4096)
	for i := range clients {
		clients[i] = netip.AddrFrom4([4]byte{byte(1 + rand.IntN(6)), byte(rand.IntN(256)), byte(rand.IntN(256)), 9})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		s.SiteFor(clients[i&4095])
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1e6, "MB-table")
	b.ReportMetric(float64(after.HeapAlloc-empty.HeapAlloc)/1e6, "MB-whole")
	runtime.KeepAlive(list)
}

// BenchmarkChange applies one change to a snapshot with 380,000 client blocks. A change of a team reuses the prefix
// table; a change of client blocks rebuilds it.
func BenchmarkChange(b *testing.B) {
	s := config.New(1, blockResources(numBlocks))
	for name, r := range map[string]wire.Resource{
		"team":   {Kind: "team", Name: "t", Team: &wire.Team{Rate: 1, Burst: 1}},
		"blocks": {Kind: "client-blocks", Name: "c0", ClientBlocks: &wire.ClientBlocks{Blocks: map[string]string{"1.0.0.0/24": "s1"}}},
	} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				s.With(2, []wire.Resource{r})
			}
		})
	}
}
