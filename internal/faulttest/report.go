package faulttest

import (
	"html"
	"os"
	"strings"
	"text/template"
	"time"

	"pinedale/internal/faulttest/history"
	"pinedale/internal/faulttest/schedule"
)

// reportTemplate is the page that WriteReport writes. Its data is a reportData.
var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{"escape": html.EscapeString}).Parse(
	`<!DOCTYPE html><html><head><meta charset="utf-8"><title>{{escape .Name}}</title></head>` +
		`<body style="font-family:sans-serif"><h1>{{escape .Name}}</h1>
<p>{{.Summary.Effects}} effects, {{.Summary.Attempts}} attempts, {{.Summary.Served}} effects served; ` +
		`responses by status {{.Summary.ByStatus}}; ` +
		`replicas equal {{.ConvergenceTime}} after the last fault and request.</p>
<p>{{len .Findings}} findings</p><ul>{{range .Findings}}<li>{{escape .String}}</li>{{end}}</ul>` +
		`{{range .Plots}}<div>{{.}}</div>
{{end}}<h2>Faults</h2><ul>{{range .Faults}}<li>{{escape .String}}</li>{{end}}</ul></body></html>
`))

// reportData is the data of reportTemplate.
type reportData struct {
	Name            string
	Summary         history.Summary
	ConvergenceTime time.Duration
	Findings        []history.Finding
	Plots           []string // SVG elements
	Faults          []schedule.Fault
}

// WriteReport writes an HTML page that summarizes a history: its findings, and plots of attempts by outcome and of the
// instances' views of the cluster, with the faults marked.
func WriteReport(path string, h *history.History) error {
	servicePlot, err := plotService(h)
	if err != nil {
		return err
	}
	viewsPlot, err := plotViews(h)
	if err != nil {
		return err
	}
	data := reportData{
		Name:            h.Schedule.Name,
		Summary:         h.Summarize(),
		ConvergenceTime: h.ConvergenceTime.Round(time.Millisecond),
		Findings:        h.Check(),
		Plots:           []string{servicePlot, viewsPlot},
		Faults:          h.Schedule.Faults,
	}
	var page strings.Builder
	if err := reportTemplate.Execute(&page, data); err != nil {
		return err
	}
	return os.WriteFile(path, []byte(page.String()), 0o644)
}
