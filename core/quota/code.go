package quota

import (
	"hash/crc32"
	"math"
	"slices"

	"jayshift/core/ident"
)

const demandScale = 100 // hundredths of a request a second

// Names returns the names of the teams in the order in which uses are stated, with a checksum of them.
func (b *Book) Names() (names []ident.Team, sum int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for team := range b.teams {
		names = append(names, team)
	}
	slices.Sort(names)
	hash := crc32.NewIEEE()
	for _, name := range names {
		_, _ = hash.Write([]byte(name))
		_, _ = hash.Write([]byte{0})
	}
	return names, int(hash.Sum32())
}

// Encode states the uses of the teams in order, as hundredths of a request a second and requests let through.
func Encode(names []ident.Team, uses map[ident.Team]Use) []int {
	list := make([]int, 0, 2*len(names))
	for _, name := range names {
		use := uses[name]
		list = append(list, int(math.Round(use.Demand*demandScale)), int(use.Passed))
	}
	return list
}

// Decode reads what Encode stated; a list of another length states nothing.
func Decode(names []ident.Team, list []int) map[ident.Team]Use {
	uses := make(map[ident.Team]Use, len(names))
	if len(list) != 2*len(names) {
		return uses
	}
	for i, name := range names {
		demand, passed := float64(list[2*i])/demandScale, float64(list[2*i+1])
		if demand > 0 || passed > 0 {
			uses[name] = Use{Demand: demand, Passed: passed}
		}
	}
	return uses
}
