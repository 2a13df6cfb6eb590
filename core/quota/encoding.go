package quota

import (
	"hash/crc32"
	"math"
	"slices"

	"jayshift/core/ident"
)

const demandScale = 100 // demand is encoded in hundredths of a request per second

// TeamNames returns the sorted names of the teams and their checksum. Encode and Decode need the names in this order;
// hosts compare the checksums to detect that their lists differ.
func (l *Limiter) TeamNames() (names []ident.Team, sum int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team := range l.teams {
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

// Encode returns two numbers per team, in the order of names: the demand in hundredths of a request per second and the
// number of admitted requests.
func Encode(names []ident.Team, usage map[ident.Team]Usage) []int {
	list := make([]int, 0, 2*len(names))
	for _, name := range names {
		u := usage[name]
		list = append(list, int(math.Round(u.Demand*demandScale)), int(u.Admitted))
	}
	return list
}

// Decode decodes a list made by Encode. A list of the wrong length yields no usage, and teams with zero usage are omitted.
func Decode(names []ident.Team, list []int) map[ident.Team]Usage {
	usage := make(map[ident.Team]Usage, len(names))
	if len(list) != 2*len(names) {
		return usage
	}
	for i, name := range names {
		demand, admitted := float64(list[2*i])/demandScale, float64(list[2*i+1])
		if demand > 0 || admitted > 0 {
			usage[name] = Usage{Demand: demand, Admitted: admitted}
		}
	}
	return usage
}
