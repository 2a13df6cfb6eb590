package limit

import (
	"math"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// ErrInvalid means that a text names no limit that can be understood.
var ErrInvalid = merry.Sentinel("limit: not a number of requests per second")

// Rate is a number of requests per second.
type Rate float64

// Bounds of a named limit. A smaller one counts as minRate, so that a server that wants nothing is still asked now and then
// whether it takes requests again.
const (
	minRate Rate = 0.05
	maxRate Rate = 1e6
)

// ParseRate returns the limit that a server names as a decimal number. It returns ErrInvalid for anything else and for a
// negative number.
func ParseRate(text string) (Rate, error) {
	v, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !math.IsInf(v, 1) || math.IsNaN(v) || v < 0 {
		return 0, ErrInvalid
	}
	return min(max(Rate(v), minRate), maxRate), nil
}
