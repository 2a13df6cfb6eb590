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
	Scenarios []string `arg:"" optional:"" help:"Scenario files in INI form; the heavy load when none is given." type:"existingfile"`
	Seeds     int      `help:"Seeds on which each way to place requests is played." default:"5"`
	HTML      string   `help:"Also write a page with plots to this file." name:"html"`
}

// row is one way to place requests on one scenario, over all seeds.
type row struct {
	Scenario string
	Policy   string
	Credit   float64
	InAim    float64
	Late     float64
	Refused  float64
	Failed   float64
	Warm     float64
}

// Run plays all scenarios with all ways to place requests, on the same seeds.
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
	var rows []row
	for _, s := range scenarios {
		for _, p := range model.Policies() {
			rows = append(rows, c.play(s, p))
		}
	}
	printRows(rows)
	if c.HTML == "" {
		return nil
	}
	return writePage(c.HTML, rows)
}

func (c *modelCommand) play(s model.Scenario, p model.Policy) row {
	sum := row{Scenario: s.Name, Policy: p.Name}
	part := 1 / float64(c.Seeds)
	for seed := range uint64(c.Seeds) {
		r := model.Run(s, p, seed)
		sum.Credit += part * r.Credit
		sum.InAim += part * r.Share(r.InTarget)
		sum.Late += part * r.Share(r.Late)
		sum.Refused += part * r.Share(r.Refused)
		sum.Failed += part * r.Share(r.Failed)
		sum.Warm += part * r.WarmShare()
	}
	return sum
}

func printRows(rows []row) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	_, _ = fmt.Fprintln(w, "scenario\tpolicy\tcredit\tin aim\tlate\trefused\tfailed\twarm runs")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", r.Scenario, r.Policy, r.Credit, r.InAim, r.Late, r.Refused, r.Failed, r.Warm)
	}
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"px": func(share float64) int { return int(share * 400) },
}).Parse(`<!DOCTYPE html><html><head><meta charset="utf-8"><title>jayshift model</title><style>
body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:left}.bar{display:flex;width:400px;height:14px}
.bar div{height:14px}.in{background:#2a7}.late{background:#db3}.refused{background:#999}.failed{background:#c44}</style></head><body>
<h1>What callers get</h1><p>Green: in aim; yellow: late; grey: refused at once; red: failed.</p><table>
<tr><th>scenario</th><th>policy</th><th>credit</th><th></th><th>warm runs</th></tr>{{range .}}
<tr><td>{{.Scenario}}</td><td>{{.Policy}}</td><td>{{printf "%.3f" .Credit}}</td><td><div class="bar">
<div class="in" style="width:{{px .InAim}}px"></div><div class="late" style="width:{{px .Late}}px"></div>
<div class="refused" style="width:{{px .Refused}}px"></div><div class="failed" style="width:{{px .Failed}}px"></div></div></td>
<td>{{printf "%.3f" .Warm}}</td></tr>{{end}}</table></body></html>
`))

func writePage(path string, rows []row) error {
	f, err := os.Create(path)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := page.Execute(f, rows); err != nil {
		_ = f.Close()
		return merry.Wrap(err)
	}
	return merry.Wrap(f.Close())
}
