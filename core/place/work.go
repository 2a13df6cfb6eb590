package place

import "time"

const (
	workWeight = 0.05 // of one answer in the mean time of its kind
	warmGuess  = 0.3  // part of the cold time, until warm runs were seen
)

// work is how long the requests of a route take at a backend server that is neither slow nor full.
type work struct {
	warm time.Duration // the server has run the object lately
	cold time.Duration
}

// expected returns the time that a run takes, or a guess from the latency target.
func (w work) expected(warm bool, aim time.Duration) time.Duration {
	cold := w.cold
	if cold == 0 {
		cold = max(aim, w.warm)
	}
	if !warm {
		return cold
	}
	if w.warm == 0 {
		return time.Duration(warmGuess * float64(cold))
	}
	return min(w.warm, cold)
}

// has tells whether runs of that sort were seen.
func (w work) has(warm bool) bool {
	if warm {
		return w.warm > 0
	}
	return w.cold > 0
}

func (w *work) learn(warm bool, took time.Duration) {
	if warm {
		w.warm = blend(w.warm, took)
		return
	}
	w.cold = blend(w.cold, took)
}

func blend(mean, next time.Duration) time.Duration {
	if mean == 0 {
		return next
	}
	return mean + time.Duration(workWeight*float64(next-mean))
}
