package fake

import "time"

// MostIn returns the highest count of moments in any window of the length; the moments are in order.
func MostIn(window time.Duration, moments []time.Time) int {
	most, first := 0, 0
	for i, at := range moments {
		for at.Sub(moments[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
