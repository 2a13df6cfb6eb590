package pace

// Load levels that are told apart. Runs at higher levels are compared with those at the lowest one, which are kept for longer, so
// that a server which is full for long is compared with what it did before.
const (
	low    = iota // at most half of the slots in use
	middle        // at most three quarters
	high
	levels
)

// tally is a decaying sum of observed run times at one load level.
type tally struct {
	weight float64 // number of observations
	sum    float64 // of the logarithms of their ratios to the usual run time
}

// mean returns the mean logarithm. The tally must not be empty.
func (t tally) mean() float64 { return t.sum / t.weight }

// tallies holds what was observed of a server.
type tallies struct {
	byLevel [levels]tally
	recent  tally // of all levels but the highest, where runs may have waited
	load    tally // of the requests that ran or waited at the server, instead of ratios
}

// sums returns all tallies in the order in which they are sent.
func (t tallies) sums() [levels + 2]tally {
	return [levels + 2]tally{t.byLevel[low], t.byLevel[middle], t.byLevel[high], t.recent, t.load}
}

// factors are what the weights of tallies are multiplied by.
type factors struct{ low, recent, others float64 }

func equally(f float64) factors { return factors{f, f, f} }

// addScaled adds the other tallies multiplied by the factors.
func (t *tallies) addScaled(other tallies, f factors) {
	t.byLevel[low].addScaled(other.byLevel[low], f.low)
	t.byLevel[middle].addScaled(other.byLevel[middle], f.others)
	t.byLevel[high].addScaled(other.byLevel[high], f.others)
	t.recent.addScaled(other.recent, f.recent)
	t.load.addScaled(other.load, f.others)
}

func (t *tally) addScaled(other tally, factor float64) {
	t.weight = max(0, t.weight+factor*other.weight)
	t.sum += factor * other.sum
}

func (t *tallies) scale(f factors) {
	scaled := tallies{}
	scaled.addScaled(*t, f)
	*t = scaled
}

// limitWeight scales the tallies so that none of them has more than the given weight.
func (t *tallies) limitWeight(most float64) {
	heaviest := 0.0
	for _, sum := range t.sums() {
		heaviest = max(heaviest, sum.weight)
	}
	if heaviest > most {
		t.scale(equally(most / heaviest))
	}
}

// levelOf returns the load level at which a server with the slots runs the number of requests.
func levelOf(running, slots int) int {
	switch {
	case 2*running <= slots:
		return low
	case 4*running <= 3*slots:
		return middle
	default:
		return high
	}
}

// loadOf returns the largest number of requests at the load level, at least 1.
func loadOf(level, slots int) float64 {
	return float64(max(1, [levels]int{slots / 2, 3 * slots / 4, slots}[level]))
}
