package crowd

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Usage is what a process has used.
type Usage struct {
	PeakMB      int // most memory that it has held, in MB
	Descriptors int // open now
}

// UsageOf returns what the process has used so far. It returns an error if the process does not run.
func UsageOf(pid int) (Usage, error) {
	proc := filepath.Join("/proc", strconv.Itoa(pid))
	status, err := os.ReadFile(filepath.Join(proc, "status"))
	if err != nil {
		return Usage{}, merry.Wrap(err)
	}
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return Usage{}, merry.Errorf("crowd: process %d has ended", pid)
	}
	peak, err := strconv.Atoi(fields[0])
	if err != nil {
		return Usage{}, merry.Wrap(err)
	}
	descriptors, err := os.ReadDir(filepath.Join(proc, "fd"))
	return Usage{PeakMB: peak >> 10, Descriptors: len(descriptors)}, merry.Wrap(err)
}
