package report

import (
	"bytes"
	"fmt"
	"html/template"
	"strings"

	"github.com/ansel1/merry/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"jayshift/core/burn"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 8 * vg.Millimeter
	maxBars    = 20
)

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{"ratio": formatRatio, "target": formatTarget, "rate": formatBurnRate}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}table{border-collapse:collapse}td,th{padding:.3em .8em;border-bottom:1px solid #ccc;text-align:left}.missing{color:#a00}</style>
</head><body><h1>Service-level burn</h1>
<p>{{.Report.Time.Format "2006-01-02 15:04:05 MST"}}, {{len .Report.Entries}} entries read. A burn of 1 uses up the error budget exactly at the pace that the target allows.</p>
{{range .Report.Missing}}<p class="missing">Missing entry {{.Entry}}: {{.Reason}}</p>{{end}}
<h2>Burn over {{.Short}}</h2>{{.Fast}}
<h2>Burn over {{.Long}}</h2>{{.Slow}}
<table><tr><th>service</th><th>team</th><th>shift</th><th>target</th><th>bad, {{.Short}}</th><th>burn</th><th>bad, {{.Long}}</th><th>burn</th></tr>
{{range .Report.Lines}}<tr><td>{{.Service}}</td><td>{{.Team}}</td><td>{{.Shift}}</td><td>{{target .Target}}</td><td>{{ratio .Short}}</td><td>{{rate .Target .Fast}}</td><td>{{ratio .Long}}</td><td>{{rate .Target .Slow}}</td></tr>
{{end}}</table></body></html>
`))

// HTML formats the report as a self-contained HTML page.
func (r Report) HTML() (string, error) {
	fast, err := barChart(r.Lines, func(l Line) float64 { return l.Fast })
	if err != nil {
		return "", err
	}
	slow, err := barChart(r.Lines, func(l Line) float64 { return l.Slow })
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	err = pageTemplate.Execute(&b, map[string]any{
		"Report": r, "Fast": fast, "Slow": slow, "Short": burn.ShortWindow.String(), "Long": burn.LongWindow.String(),
	})
	return b.String(), merry.Wrap(err)
}

// barChart draws the values of the first maxBars lines as an SVG bar chart. The lines must be sorted by burn rate,
// highest first.
func barChart(lines []Line, value func(Line) float64) (template.HTML, error) {
	if len(lines) == 0 {
		return "<p>No requests were counted.</p>", nil
	}
	lines = lines[:min(len(lines), maxBars)]
	values := make(plotter.Values, len(lines))
	names := make([]string, len(lines))
	for i, l := range lines {
		values[i] = value(l)
		names[i] = strings.TrimSpace(fmt.Sprintf("%s %s", l.Service, l.Team))
	}
	p := plot.New()
	p.Y.Label.Text = "burn"
	p.Y.Min = 0
	chart, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return "", merry.Wrap(err)
	}
	p.Add(chart)
	p.NominalX(names...)
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var b bytes.Buffer
	if _, err := canvas.WriteTo(&b); err != nil {
		return "", merry.Wrap(err)
	}
	_, svg, _ := strings.Cut(b.String(), "<svg")
	return template.HTML("<svg" + svg), nil
}
