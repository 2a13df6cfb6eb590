// Package report reads the metrics of entry hosts and reports the error budget burn rates of services.
package report

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"jayshift/core/burn"
)

const fetchTimeout = 3 * time.Second

// Metrics that the report is computed from.
const (
	requestsMetric = "jayshift_burn_requests"
	badMetric      = "jayshift_burn_bad"
)

// ErrNoEntry means that the metrics of no entry host could be read.
var ErrNoEntry = merry.Sentinel("no entry host could be read")

// Line is the burn of one series of requests.
type Line struct {
	Service string     `json:"service"`
	Team    string     `json:"team,omitempty"`
	Shift   string     `json:"shift,omitempty"`
	Target  float64    `json:"target"`     // availability target from 0 to 1; 0 for none
	Short   burn.Count `json:"short"`      // requests in burn.ShortWindow
	Long    burn.Count `json:"long"`       // requests in burn.LongWindow
	Fast    float64    `json:"short-burn"` // burn rate over burn.ShortWindow
	Slow    float64    `json:"long-burn"`  // burn rate over burn.LongWindow
}

// Missing is an entry host whose metrics could not be read.
type Missing struct {
	Entry  string `json:"entry"`
	Reason string `json:"reason"`
}

// Report holds the burn of all series over a short and a long window.
type Report struct {
	Time    time.Time `json:"time"`
	Entries []string  `json:"entries"` // admin addresses of the entry hosts that were read
	Missing []Missing `json:"missing"`
	Lines   []Line    `json:"lines"` // sorted by burn rate over the long window, highest first
}

type windowCounts struct{ short, long burn.Count }

// Read reads the metrics of entry hosts at their admin addresses and sums them up. targets holds the availability
// target of each service. The report lists the hosts that could not be read as missing; if that is all of them, Read
// also returns ErrNoEntry.
func Read(ctx context.Context, admins []string, targets map[string]float64) (Report, error) {
	r := Report{Time: time.Now().UTC(), Missing: []Missing{}}
	sums := map[burn.Series]windowCounts{}
	for _, admin := range admins {
		families, err := fetch(ctx, admin)
		if err != nil {
			r.Missing = append(r.Missing, Missing{Entry: admin, Reason: err.Error()})
			continue
		}
		r.Entries = append(r.Entries, admin)
		addCounts(sums, families)
	}
	for s, w := range sums {
		target := targets[s.Service]
		r.Lines = append(r.Lines, Line{
			Service: s.Service, Team: s.Team, Shift: s.Shift, Target: target, Short: w.short, Long: w.long,
			Fast: w.short.Rate(target), Slow: w.long.Rate(target),
		})
	}
	slices.SortFunc(r.Lines, func(a, b Line) int {
		return cmp.Or(cmp.Compare(b.Slow, a.Slow), cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team), cmp.Compare(a.Shift, b.Shift))
	})
	if len(r.Entries) == 0 {
		return r, ErrNoEntry
	}
	return r, nil
}

func fetch(ctx context.Context, admin string) (map[string]*dto.MetricFamily, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, merry.Errorf("status %d", response.StatusCode)
	}
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(response.Body)
	return families, merry.Wrap(err)
}

func addCounts(sums map[burn.Series]windowCounts, families map[string]*dto.MetricFamily) {
	for name, bad := range map[string]bool{requestsMetric: false, badMetric: true} {
		for _, m := range families[name].GetMetric() {
			labels := map[string]string{}
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			s := burn.Series{Service: labels["service"], Team: labels["team"], Shift: labels["shift"]}
			w := sums[s]
			count := burn.Count{Total: int64(m.GetGauge().GetValue())}
			if bad {
				count = burn.Count{Bad: count.Total}
			}
			if labels["window"] == burn.ShortWindow.String() {
				w.short = w.short.Add(count)
			} else {
				w.long = w.long.Add(count)
			}
			sums[s] = w
		}
	}
}

// Text formats the report as a text table.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service-level burn at %s, windows %s and %s, %d entries read\n",
		r.Time.Format(time.RFC3339), burn.ShortWindow, burn.LongWindow, len(r.Entries))
	for _, m := range r.Missing {
		fmt.Fprintf(&b, "MISSING entry %s: %s\n", m.Entry, m.Reason)
	}
	fmt.Fprintf(&b, "%-16s %-16s %-16s %8s %12s %9s %12s %9s\n", "service", "team", "shift", "target", "short-bad", "burn", "long-bad", "burn")
	for _, l := range r.Lines {
		fmt.Fprintf(&b, "%-16s %-16s %-16s %8s %12s %9s %12s %9s\n", l.Service, l.Team, l.Shift, formatTarget(l.Target),
			formatRatio(l.Short), formatBurnRate(l.Target, l.Fast), formatRatio(l.Long), formatBurnRate(l.Target, l.Slow))
	}
	return b.String()
}

func formatTarget(t float64) string {
	if t <= 0 {
		return "none"
	}
	return fmt.Sprintf("%.3f", t)
}

func formatRatio(c burn.Count) string { return fmt.Sprintf("%d/%d", c.Bad, c.Total) }

func formatBurnRate(target, rate float64) string {
	if target <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", rate)
}

// JSON formats the report as indented JSON.
func (r Report) JSON() (string, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	return string(data) + "\n", merry.Wrap(err)
}
