// Package share divides fleet-wide limits into shares that hosts hold and lend to each other.
//
// The sum of the shares never exceeds the limit: an amount is subtracted at the giving host before it is added at the
// receiving host, no more tokens are added than were subtracted, and a loan that is not returned is added at its lender
// again only after the borrower's deadline has passed.
package share

import (
	"math/bits"
	"time"

	"jayshift/core/ident"
)

// Unit is one request, byte or slot, expressed in the millionths in which shares are counted.
const Unit int64 = 1_000_000

// Amount is a part of a limit. Burst and Tokens are in millionths, Rate is in millionths per second.
type Amount struct {
	Rate   int64
	Burst  int64
	Tokens int64
}

// Loan is an amount that one host lent to another. Lender and borrower each store it with a deadline on their own clock.
type Loan struct {
	Peer     ident.Host
	Sequence int64
	Amount   Amount
	Deadline time.Time
	Pooled   bool // lent to the host that pools the region's shares
}

// Micro converts a number of requests, bytes or slots to millionths.
func Micro(x float64) int64 { return int64(x * float64(Unit)) }

// accrued returns the tokens that a rate yields in d, and the new remainder in billionths of a millionth.
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

// fraction returns x*part/whole without overflow: at most x, and 0 if an argument is not positive.
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
