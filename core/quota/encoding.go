package quota

import (
	"hash/crc32"
	"math"
	"slices"

	"jayshift/core/ident"
)

const demandScale = 100 // demand is encoded in hundredths of a request per second

// TeamNames returns the sorted names of the teams and their checksum. Encode and Decode need the names in this order;
// hosts compare the checksums to detect that their lists differ. The caller must not change the list.
func (l *Limiter) TeamNames() (names []ident.Team, sum int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.names, l.namesSum
}

func checksum(names []ident.Team) int {
	hash := crc32.NewIEEE()
	for _, name := range names {
		_, _ = hash.Write([]byte(name))
		_, _ = hash.Write([]byte{0})
	}
	return int(hash.Sum32())
}

// numbersPerTeam is the number of numbers that Encode returns for a team with usage.
const numbersPerTeam = 3

// Encode returns three numbers for each team with demand: the team's index in names, the demand in hundredths of a request
// per second and the number of admitted requests. Without demand, no request was admitted since the last report.
func Encode(names []ident.Team, usage map[ident.Team]Usage) []int {
	var list []int
	for i, name := range names {
		u := usage[name]
		demand, admitted := int(math.Round(u.Demand*demandScale)), int(u.Admitted)
		if demand > 0 {
			list = append(list, i, demand, admitted)
		}
	}
	return list
}

// Decode decodes a list made by Encode. A list of the wrong length yields no usage, and entries that name no team or have
// negative numbers are omitted.
func Decode(names []ident.Team, list []int) map[ident.Team]Usage {
	usage := make(map[ident.Team]Usage, len(list)/numbersPerTeam)
	if len(list)%numbersPerTeam != 0 {
		return usage
	}
	for entry := range slices.Chunk(list, numbersPerTeam) {
		index, demand, admitted := entry[0], entry[1], entry[2]
		if index >= 0 && index < len(names) && demand >= 0 && admitted >= 0 {
			usage[names[index]] = Usage{Demand: float64(demand) / demandScale, Admitted: float64(admitted)}
		}
	}
	return usage
}
