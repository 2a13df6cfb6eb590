package usage

import (
	"sync"
	"time"

	"jayshift/core/ident"
)

// maxReporters bounds the processes whose reports are kept, so that faulty messages cannot fill the memory.
const maxReporters = 4096

// process is one process of a host.
type process struct {
	host        ident.Host
	incarnation int
}

// reported is the latest report of a process.
type reported struct {
	sequence int
	through  Window
	windows  map[Window]Counts
}

// Tally collects the reports of all hosts. It is safe for concurrent use.
type Tally struct {
	schedule Schedule

	mu      sync.Mutex
	reports map[process]*reported
}

// NewTally returns a tally without any report.
func NewTally(s Schedule) *Tally { return &Tally{schedule: s, reports: map[process]*reported{}} }

// Record adds a report. A report that is repeated, or older than the last one of its process, changes nothing. The windows
// that a report does not name keep their counts.
func (t *Tally) Record(now time.Time, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeOld(now)
	key := process{host: r.Host, incarnation: r.Incarnation}
	last := t.reports[key]
	if last == nil {
		if len(t.reports) >= maxReporters {
			return
		}
		last = &reported{windows: map[Window]Counts{}}
		t.reports[key] = last
	}
	if r.Sequence <= last.sequence {
		return
	}
	last.sequence, last.through = r.Sequence, r.Through
	first, current := t.schedule.firstOpen(now), t.schedule.At(now)
	for w, counts := range r.Windows {
		if w >= first && w <= current+1 {
			last.windows[w] = counts
		}
	}
}

// removeOld removes what can no longer be reported. The caller holds mu.
func (t *Tally) removeOld(now time.Time) {
	first := t.schedule.firstOpen(now)
	for key, r := range t.reports {
		for w := range r.windows {
			if w < first {
				delete(r.windows, w)
			}
		}
		if r.through < first && len(r.windows) == 0 {
			delete(t.reports, key)
		}
	}
}

// Total returns the counts of all hosts in a window. Teams without requests are omitted.
func (t *Tally) Total(w Window) Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := Counts{}
	for _, r := range t.reports {
		for team, n := range r.windows[w] {
			if n > 0 {
				total[team] += n
			}
		}
	}
	return total
}

// Missing returns the number of the given hosts that have not reported a window since its end.
func (t *Tally) Missing(w Window, hosts []ident.Host) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	complete := map[ident.Host]bool{}
	for key, r := range t.reports {
		complete[key.host] = complete[key.host] || r.through >= w
	}
	missing := 0
	for _, host := range hosts {
		if !complete[host] {
			missing++
		}
	}
	return missing
}

// Receivers returns the hosts that a host sends its reports to: the holder of the duty, which may be itself. The holder sends
// its own reports to the first standbyCount other candidates too, so that the next holder has them if it is lost. While nobody
// holds the duty, each host that knows the candidates sends to those.
func Receivers(self, holder ident.Host, candidates []ident.Host) []ident.Host {
	if holder != "" && holder != self {
		return []ident.Host{holder}
	}
	var list []ident.Host
	for _, c := range candidates {
		if c != self && len(list) < standbyCount {
			list = append(list, c)
		}
	}
	if holder == self {
		return append([]ident.Host{self}, list...)
	}
	return list
}

const standbyCount = 2
