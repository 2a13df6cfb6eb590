package pace

import "math"

// curve holds how much slower runs are at each load level than at the lowest one, as a logarithm.
type curve [levels]float64

// serviceCurve estimates the curve that the servers of a service have in common. Each server is compared with itself only, so
// that servers of different speeds do not look like one that slows down under load.
func serviceCurve(servers []tallies) curve {
	var result curve
	for level := middle; level <= high; level++ {
		var weight, sum float64
		for _, t := range servers {
			w, difference := t.compare(level)
			weight += w
			sum += w * difference
		}
		result[level] = max(0, sum/(weight+serviceDoubt))
	}
	return result
}

// compare returns by how much the runs at a level are slower than at the lowest one, as a logarithm, and the weight of that.
func (t tallies) compare(level int) (weight, difference float64) {
	a, b := t.byLevel[low], t.byLevel[level]
	if a.weight < minWeight || b.weight < minWeight {
		return 0, 0
	}
	return a.weight * b.weight / (a.weight + b.weight), b.mean() - a.mean()
}

// limitOf returns the largest load of a server with the slots at which its throughput is close to its highest one.
func limitOf(t tallies, usual curve, slots int) float64 {
	var throughput [levels]float64
	best := 0.0
	for level := range levels {
		w, difference := t.compare(level)
		slower := max(0, (w*difference+serverDoubt*usual[level])/(w+serverDoubt))
		throughput[level] = loadOf(level, slots) * math.Exp(-slower)
		best = max(best, throughput[level])
	}
	for level := high; level > low; level-- {
		if throughput[level] >= minThroughput*best {
			return loadOf(level, slots)
		}
	}
	return loadOf(low, slots)
}
