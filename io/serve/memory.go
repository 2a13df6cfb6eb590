package serve

import (
	"time"

	"jayshift/core/budget"
)

const (
	megabyte = 1 << 20
	// clientPart divides the memory of the process. A process without clients takes 25 to 30 MB, and the collector lets the
	// live memory double: on the smallest machine (184 MB) a quarter leaves room for both.
	clientPart = 4
	smallPart  = 24 // each of the directory, ready and metrics addresses has the descriptors divided by this
	linkPart   = 8  // the link address has the descriptors divided by this; links themselves do not count
	// stuckAfter is how long a request to the directory, ready or metrics address may take while there is no room for others. It
	// takes a few milliseconds to answer one.
	stuckAfter        = time.Second
	smallReadTimeout  = 5 * time.Second
	smallWriteTimeout = 15 * time.Second
	linkReadTimeout   = 30 * time.Second // for requests that are not forwarded; those have the time of their route
	linkStallTimeout  = 5 * time.Second
	callerStall       = 15 * time.Second // as at the callers' address of edge hosts
	readMargin        = 5 * time.Second  // a read that ends during a request would cancel it
	memoryLimitRatio  = 0.8
	// programMB is the memory that the Go runtime does not count: the pages of the program, 12 to 15 MB, and what it takes
	// beyond its limit while garbage is made fast.
	programMB = 24
)

// RuntimeMemory returns the soft memory limit of the Go runtime, in bytes, for a process with memoryMB megabytes.
func RuntimeMemory(memoryMB int) int64 {
	return int64(max(float64(memoryMB)/2, min(memoryLimitRatio*float64(memoryMB), float64(memoryMB-programMB))) * megabyte)
}

// ClientMemory returns the memory that clients of a process with memoryMB megabytes may fill.
func ClientMemory(memoryMB int) budget.Bytes { return budget.Bytes(memoryMB) * megabyte / clientPart }

// SmallLimits returns the limits of an address with small requests and responses, which are answered at once.
func SmallLimits(b *budget.Budget, descriptors int) Limits {
	return Limits{
		Budget: b, MaxConns: max(1, descriptors/smallPart), StuckAfter: stuckAfter, ReadTimeout: smallReadTimeout, WriteTimeout: smallWriteTimeout,
	}
}

// LinkLimits returns the limits of the address for other hosts.
func LinkLimits(b *budget.Budget, descriptors int, headBytes func() int) Limits {
	return Limits{Budget: b, HeadBytes: headBytes, MaxConns: max(1, descriptors/linkPart), ReadTimeout: linkReadTimeout, StallTimeout: linkStallTimeout}
}

// CallerLimits returns the limits of the callers' address of an entry host, whose requests run for maxRequestTime at most.
func CallerLimits(b *budget.Budget, maxConns int, maxRequestTime time.Duration) Limits {
	return Limits{Budget: b, MaxConns: maxConns, ReadTimeout: maxRequestTime + readMargin, StallTimeout: callerStall}
}

// OperatorLimits returns the limits of the operators' address.
func OperatorLimits(b *budget.Budget, descriptors int) Limits {
	return Limits{Budget: b, MaxConns: max(1, descriptors/smallPart), StallTimeout: callerStall}
}
