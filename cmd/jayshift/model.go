package main

import (
	"fmt"
	"html/template"
	"os"
	"text/tabwriter"

	"github.com/ansel1/merry/v2"

	"jayshift/core/model"
	"jayshift/io/setup"
)

type modelCommand struct {
	Scenarios []string `arg:"" optional:"" help:"Scenario files in INI form; the built-in heavy load if omitted." type:"existingfile"`
	Seeds     int      `help:"Number of seeds with which each policy is simulated." default:"5"`
	HTML      string   `help:"Also write an HTML page with plots to this file." name:"html"`
}

// policyResult holds the results of one policy in one scenario, as means over all seeds. InAim (within the latency
// target), Late, Refused and Failed are fractions of all requests. Warm is the fraction of runs on cached objects.
type policyResult struct {
	Scenario string
	Policy   string
	Credit   float64
	InAim    float64
	Late     float64
	Refused  float64
	Failed   float64
	Warm     float64
}

// Run simulates all scenarios with all policies on the same seeds, prints the results and writes the HTML page.
func (c *modelCommand) Run() error {
	scenarios := []model.Scenario{}
	for _, path := range c.Scenarios {
		s, err := setup.ReadScenario(path)
		if err != nil {
			return merry.Prepend(err, path)
		}
		scenarios = append(scenarios, *s)
	}
	if len(scenarios) == 0 {
		scenarios = append(scenarios, model.HeavyLoad())
	}
	var rows []policyResult
	for _, s := range scenarios {
		for _, p := range model.Policies() {
			rows = append(rows, c.simulate(s, p))
		}
	}
	printRows(rows)
	if c.HTML == "" {
		return nil
	}
	return writePage(c.HTML, rows)
}

// simulate returns the mean results of the policy over all seeds.
func (c *modelCommand) simulate(s model.Scenario, p model.Policy) policyResult {
	mean := policyResult{Scenario: s.Name, Policy: p.Name}
	weight := 1 / float64(c.Seeds)
	for seed := range uint64(c.Seeds) {
		r := model.Run(s, p, seed)
		mean.Credit += weight * r.Credit
		mean.InAim += weight * r.Share(r.InTarget)
		mean.Late += weight * r.Share(r.Late)
		mean.Refused += weight * r.Share(r.Refused)
		mean.Failed += weight * r.Share(r.Failed)
		mean.Warm += weight * r.WarmShare()
	}
	return mean
}

func printRows(rows []policyResult) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "scenario\tpolicy\tcredit\tin aim\tlate\trefused\tfailed\twarm runs")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", r.Scenario, r.Policy, r.Credit, r.InAim, r.Late, r.Refused, r.Failed, r.Warm)
	}
}

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"px": func(share float64) int { return int(share * 400) },
}).Parse(`<!DOCTYPE html><html><head><meta charset="utf-8"><title>jayshift model</title><style>
body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:left}.bar{display:flex;width:400px;height:14px}
.bar div{height:14px}.in{background:#2a7}.late{background:#db3}.refused{background:#999}.failed{background:#c44}</style></head><body>
<h1>Request outcomes</h1><p>Green: in aim (within the latency target); yellow: late; grey: refused by the host; red: failed.</p><table>
<tr><th>scenario</th><th>policy</th><th>credit</th><th></th><th>warm runs</th></tr>{{range .}}
<tr><td>{{.Scenario}}</td><td>{{.Policy}}</td><td>{{printf "%.3f" .Credit}}</td><td><div class="bar">
<div class="in" style="width:{{px .InAim}}px"></div><div class="late" style="width:{{px .Late}}px"></div>
<div class="refused" style="width:{{px .Refused}}px"></div><div class="failed" style="width:{{px .Failed}}px"></div></div></td>
<td>{{printf "%.3f" .Warm}}</td></tr>{{end}}</table></body></html>
`))

func writePage(path string, rows []policyResult) error {
	f, err := os.Create(path)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := pageTemplate.Execute(f, rows); err != nil {
		_ = f.Close()
		return merry.Wrap(err)
	}
	return merry.Wrap(f.Close())
}
