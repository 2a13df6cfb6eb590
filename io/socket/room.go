package socket

import (
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	// reclaimFraction is the part of the open connections that is closed at once, so that they are not searched for each new
	// caller.
	reclaimFraction = 1.0 / 32
	// callerFraction is the part of a process's file descriptors that callers' connections may use. Connections to backend
	// servers, to other hosts and to the store use the rest.
	callerFraction = 0.7
)

// MaxCallers returns the number of callers' connections that a process with the given number of file descriptors may keep
// open.
func MaxCallers(descriptors int) int { return int(callerFraction * float64(descriptors)) }

// Room makes room for new callers by closing the connections on which nothing has happened for the longest time.
type Room struct {
	Max       int             // open connections, 0 for no limit
	Open      func() int      // returns the number of open connections
	CloseIdle func(n int) int // closes up to n idle connections, those that were idle for longest first, and returns how many
	Ending    func() bool     // reports whether a connection is about to be idle; nil if that is not known
}

const (
	maxEndingWait = 50 * time.Millisecond // for a connection to become idle
	endingPoll    = time.Millisecond
)

// AfterError reports whether accepting may succeed now, after it has failed with the error: connections were closed to free
// descriptors.
func (r *Room) AfterError(err error) bool {
	outOfDescriptors := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
	return outOfDescriptors && r.reclaim() > 0
}

// Admit reports whether an accepted connection may be kept. It returns false while all others are in use. It waits a moment for one that is about
// to be idle.
func (r *Room) Admit() bool {
	for end := time.Now().Add(maxEndingWait); r.Ending != nil && !r.hasRoom(); time.Sleep(endingPoll) {
		if !r.Ending() || time.Now().After(end) {
			break
		}
	}
	return r.hasRoom()
}

func (r *Room) hasRoom() bool { return r.Max <= 0 || r.Open() < r.Max || r.reclaim() > 0 }

func (r *Room) reclaim() int {
	return r.CloseIdle(max(1, int(reclaimFraction*float64(r.Open()))))
}

// Idle is a connection on which nothing happens.
type Idle struct {
	Since time.Time
	Close func() bool // closes the connection if it is still idle, and reports whether it did
}

// CloseLongestIdle closes up to n of the connections, those that were idle for longest first. It returns how many.
func CloseLongestIdle(list []Idle, n int) int {
	slices.SortFunc(list, func(a, b Idle) int { return a.Since.Compare(b.Since) })
	closed := 0
	for _, idle := range list {
		if closed == n {
			break
		}
		if idle.Close() {
			closed++
		}
	}
	return closed
}
