package scenario

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"pinedale/internal/emulator/plan"
)

//go:embed report.html.tmpl
var reportText string

// reportTemplate renders a reportPage.
var reportTemplate = template.Must(template.New("page").Parse(reportText))

// reportPage is the data of the HTML report.
type reportPage struct {
	Name, Summary, Violations string
	Plots                     []plot
	Classes, Tenants          []reportRow
}

// reportRow is one row of a table of tallies.
type reportRow struct {
	Name string
	plan.Tally
}

// WriteHTML writes the result of a run as one self-contained HTML page.
func (f *File) WriteHTML(out io.Writer, s *plan.Scenario, r *plan.Result) error {
	page := reportPage{
		Name: f.Name,
		Summary: fmt.Sprintf("seed %d: G %.3f, %.1f%% served in time, %.1f%% of the value earned in the worst 10 s",
			s.Seed, s.Score(r), 100*r.InTime(), 100*s.WorstWindow(r)),
		Violations: r.Violations(),
		Plots:      []plot{f.requestPlot(r), f.latencyPlot(r), f.attemptPlot(s, r)},
		Classes:    reportRows(f.classNames(), r.Classes),
		Tenants:    reportRows(f.tenantNames(), r.Tenants),
	}
	return reportTemplate.Execute(out, page)
}

func reportRows(names []string, tallies []plan.Tally) []reportRow {
	var rows []reportRow
	for i, tally := range tallies {
		rows = append(rows, reportRow{Name: names[i], Tally: tally})
	}
	return rows
}
