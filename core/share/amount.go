// Package share splits limits that are counted across the fleet into shares that hosts hold and lend.
//
// The sum of what all hosts may spend never exceeds the limit: a share that moves is subtracted at the giver first,
// brings at most the tokens that were subtracted, and returns to a lender only after the borrower's deadline has passed.
package share

import (
	"math/bits"
	"time"

	"jayshift/core/ident"
)

// Unit is one whole request, byte or slot in the millionths that shares are counted in.
const Unit int64 = 1_000_000

// Amount is a part of a limit, in millionths; Rate is a second.
type Amount struct {
	Rate   int64
	Burst  int64
	Tokens int64
}

// Loan is an amount that one host lent to another until a deadline on the holder's own clock.
type Loan struct {
	Peer     ident.Host
	Sequence int64
	Amount   Amount
	Deadline time.Time
	Gathered bool // lent to the host that gathers the region's shares
}

// Micro converts a number of requests, bytes or slots to millionths.
func Micro(x float64) int64 { return int64(x * float64(Unit)) }

// accrued returns the tokens that a rate yields in a time, and the remainder in billionths of a millionth.
func accrued(rate int64, d time.Duration, remainder uint64) (int64, uint64) {
	if rate <= 0 || d <= 0 {
		return 0, remainder
	}
	hi, lo := bits.Mul64(uint64(rate), uint64(d))
	lo, carry := bits.Add64(lo, remainder, 0)
	hi += carry
	if hi >= uint64(time.Second) {
		return int64(^uint64(0) >> 2), 0
	}
	tokens, rest := bits.Div64(hi, lo, uint64(time.Second))
	return int64(min(tokens, uint64(1)<<61)), rest
}

// fraction returns x*part/whole without overflow.
func fraction(x, part, whole int64) int64 {
	if x <= 0 || part <= 0 || whole <= 0 {
		return 0
	}
	if part >= whole {
		return x
	}
	hi, lo := bits.Mul64(uint64(x), uint64(part))
	q, _ := bits.Div64(hi, lo, uint64(whole))
	return int64(q)
}
