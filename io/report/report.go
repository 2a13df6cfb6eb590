// Package report reads the metrics of entry hosts and states how fast service levels burn their error budgets.
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

// Names of the metrics that the report reads.
const (
	totalMetric = "jayshift_burn_requests"
	badMetric   = "jayshift_burn_bad"
)

// ErrNoEntry means that no entry host could be read.
var ErrNoEntry = merry.Sentinel("no entry host could be read")

// Line is one series of the report.
type Line struct {
	Service string     `json:"service"`
	Team    string     `json:"team,omitempty"`
	Shift   string     `json:"shift,omitempty"`
	Target  float64    `json:"target"`
	Short   burn.Count `json:"short"`
	Long    burn.Count `json:"long"`
	Fast    float64    `json:"short-burn"`
	Slow    float64    `json:"long-burn"`
}

// Missing is an entry host whose metrics could not be read.
type Missing struct {
	Entry  string `json:"entry"`
	Reason string `json:"reason"`
}

// Report is the burn of all series over two windows.
type Report struct {
	Time    time.Time `json:"time"`
	Entries []string  `json:"entries"`
	Missing []Missing `json:"missing"`
	Lines   []Line    `json:"lines"`
}

type windows struct{ short, long burn.Count }

// Read reads the metrics of all entries at their admin addresses. targets gives the availability target of each service.
// Entries that cannot be read are named in the report; the error is ErrNoEntry when that is all of them.
func Read(ctx context.Context, admins []string, targets map[string]float64) (Report, error) {
	r := Report{Time: time.Now().UTC(), Missing: []Missing{}}
	sums := map[burn.Series]windows{}
	for _, admin := range admins {
		families, err := fetch(ctx, admin)
		if err != nil {
			r.Missing = append(r.Missing, Missing{Entry: admin, Reason: err.Error()})
			continue
		}
		r.Entries = append(r.Entries, admin)
		add(sums, families)
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

func add(sums map[burn.Series]windows, families map[string]*dto.MetricFamily) {
	for name, bad := range map[string]bool{totalMetric: false, badMetric: true} {
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

// Text prints the report as a table.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "service-level burn at %s, windows %s and %s, %d entries read\n",
		r.Time.Format(time.RFC3339), burn.ShortWindow, burn.LongWindow, len(r.Entries))
	for _, m := range r.Missing {
		fmt.Fprintf(&b, "MISSING entry %s: %s\n", m.Entry, m.Reason)
	}
	fmt.Fprintf(&b, "%-16s %-16s %-16s %8s %12s %9s %12s %9s\n", "service", "team", "shift", "target", "short-bad", "burn", "long-bad", "burn")
	for _, l := range r.Lines {
		fmt.Fprintf(&b, "%-16s %-16s %-16s %8s %12s %9s %12s %9s\n", l.Service, l.Team, l.Shift, target(l.Target),
			ratio(l.Short), rate(l.Target, l.Fast), ratio(l.Long), rate(l.Target, l.Slow))
	}
	return b.String()
}

func target(t float64) string {
	if t <= 0 {
		return "none"
	}
	return fmt.Sprintf("%.3f", t)
}

func ratio(c burn.Count) string { return fmt.Sprintf("%d/%d", c.Bad, c.Total) }

func rate(target, burn float64) string {
	if target <= 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", burn)
}

// JSON prints the report as JSON.
func (r Report) JSON() (string, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	return string(data) + "\n", merry.Wrap(err)
}
