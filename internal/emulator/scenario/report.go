package scenario

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"pinedale/internal/emulator/plan"
)

// WriteText writes a play's result for a reader.
func (f *File) WriteText(out io.Writer, s *plan.Scenario, r *plan.Result) {
	table := func(title string, names []string, tallies []plan.Tally) {
		fmt.Fprintf(out, "%-16s %8s %9s %7s %8s %7s\n", title, "asked", "in time", "late", "refused", "failed")
		for i, t := range tallies {
			fmt.Fprintf(out, "%-16s %8d %8.1f%% %7d %8d %7d\n", names[i], t.Requested, 100*float64(t.InTime)/float64(max(1, t.Requested)), t.Late, t.Rejected, t.Failed)
		}
	}
	var classes, tenants []string
	for _, c := range f.Classes {
		classes = append(classes, c.Name)
	}
	for _, t := range f.Tenants {
		tenants = append(tenants, t.Name)
	}
	table("class", classes, r.Classes)
	if len(tenants) > 0 {
		table("tenant", tenants, r.Tenants)
	}
	fmt.Fprintf(out, "G %.3f; in time %.1f%%, worth earned in the worst 10 s %.1f%%\n", s.Score(r), 100*r.InTime(), 100*s.WorstWindow(r))
	fmt.Fprintf(out, "tries %d; attempts by server %v; probes %d; connections at most %d\n", r.ClientAttempts, r.Attempts, r.Probes, r.Connections)
	if r.Handshakes > 0 {
		fmt.Fprintf(out, "handshakes %d, %d at one server in its busiest second; without a turn %d\n", r.Handshakes, r.PeakHandshakes, r.HandshakesDenied)
	}
	if reason := r.Violations(); reason != "" {
		fmt.Fprintf(out, "BROKEN: %s\n", reason)
	} else {
		fmt.Fprintln(out, "no rule broken")
	}
}

// Sizes of the page's plots, in its pixels.
const (
	plotWidth      = 900.0
	plotHeight     = 160.0
	maxStripPoints = 60 // rows of servers; a larger fleet is shown in groups
	stripRow       = 10.0
)

type mark struct {
	X, Width float64
	Name     string
}

type curve struct{ Points, Colour, Name string }

// plot is one picture over the seconds of a play.
type plot struct {
	Title, Top    string
	Width, Height float64
	Marks         []mark
	Curves        []curve
	Cells         []cell
}

type cell struct {
	X, Y, Width, Height, Shade float64
	Name                       string
}

// curves draws one value a second each, on one scale.
func (f *File) curves(r *plan.Result, title, unit string, values []curve, value func(curve, *plan.Second) float64) plot {
	p := plot{Title: title, Width: plotWidth, Height: plotHeight, Marks: f.marks(r)}
	highest := 0.0
	for _, c := range values {
		for i := range r.Seconds {
			highest = max(highest, value(c, &r.Seconds[i]))
		}
	}
	p.Top = fmt.Sprintf("top: %.0f %s", highest, unit)
	for _, c := range values {
		var b strings.Builder
		for i := range r.Seconds {
			fmt.Fprintf(&b, "%.1f,%.1f ", (float64(i)+0.5)*plotWidth/float64(len(r.Seconds)), plotHeight-value(c, &r.Seconds[i])/max(highest, 1e-9)*plotHeight)
		}
		c.Points = b.String()
		p.Curves = append(p.Curves, c)
	}
	return p
}

func (f *File) marks(r *plan.Result) (out []mark) {
	scale := plotWidth / float64(max(1, len(r.Seconds)))
	for _, x := range f.Faults {
		from := time.Duration(x.From).Seconds()
		until := max(time.Duration(x.Until).Seconds(), from+0.3)
		out = append(out, mark{from * scale, (until - from) * scale, x.Kind})
	}
	return out
}

// strips draws the attempts of each second at each server, the darker the more.
func (f *File) strips(s *plan.Scenario, r *plan.Result) plot {
	group := (len(s.Servers) + maxStripPoints - 1) / maxStripPoints
	rows := (len(s.Servers) + group - 1) / group
	p := plot{Title: "Attempts a second, by server", Width: plotWidth, Height: float64(rows) * stripRow}
	sums := make([][]float64, rows)
	highest := 1.0
	for row := range sums {
		sums[row] = make([]float64, len(r.Seconds))
		for i := range r.Seconds {
			for n := row * group; n < min(len(s.Servers), (row+1)*group); n++ {
				sums[row][i] += float64(r.Seconds[i].Attempts[n])
			}
			highest = max(highest, sums[row][i])
		}
	}
	p.Top = fmt.Sprintf("darkest: %.0f", highest)
	width := plotWidth / float64(max(1, len(r.Seconds)))
	for row := range sums {
		name := s.Servers[row*group].Name
		if group > 1 {
			name = fmt.Sprintf("%s and %d more", name, min(len(s.Servers), (row+1)*group)-row*group-1)
		}
		for i, n := range sums[row] {
			p.Cells = append(p.Cells, cell{float64(i) * width, float64(row) * stripRow, width, stripRow - 1, n / highest, fmt.Sprintf("%s, second %d: %.0f", name, i, n)})
		}
	}
	return p
}

// WriteHTML writes a play's result as one page that needs nothing else.
func (f *File) WriteHTML(out io.Writer, s *plan.Scenario, r *plan.Result) error {
	type row struct {
		Name string
		plan.Tally
	}
	page := struct {
		Name, Summary, Broken string
		Plots                 []plot
		Classes, Tenants      []row
	}{Name: f.Name, Broken: r.Violations()}
	page.Summary = fmt.Sprintf("seed %d: G %.3f, %.1f%% served in time, %.1f%% of the worth earned in the worst 10 s", s.Seed, s.Score(r), 100*r.InTime(), 100*s.WorstWindow(r))
	counts := map[string]func(plan.Tally) int{
		"asked":   func(t plan.Tally) int { return t.Requested },
		"in time": func(t plan.Tally) int { return t.InTime },
		"late":    func(t plan.Tally) int { return t.Late },
		"refused": func(t plan.Tally) int { return t.Rejected },
		"failed":  func(t plan.Tally) int { return t.Failed },
	}
	quantiles := map[string]float64{"median": 0.5, "95th percentile": 0.95, "99th percentile": 0.99}
	page.Plots = []plot{
		f.curves(r, "Requests a second, by the second of their first try", "a second", []curve{{Colour: "#888", Name: "asked"}, {Colour: "#276749", Name: "in time"},
			{Colour: "#b7791f", Name: "late"}, {Colour: "#6b46c1", Name: "refused"}, {Colour: "#b00", Name: "failed"}},
			func(c curve, x *plan.Second) float64 { return float64(counts[c.Name](x.Total())) }),
		f.curves(r, "Time to the answer, of those served", "ms", []curve{{Colour: "#276749", Name: "median"}, {Colour: "#2b6cb0", Name: "95th percentile"}, {Colour: "#b00", Name: "99th percentile"}},
			func(c curve, x *plan.Second) float64 { return x.Quantile(quantiles[c.Name]).Seconds() * 1e3 }),
		f.strips(s, r),
	}
	for i, t := range r.Classes {
		page.Classes = append(page.Classes, row{f.Classes[i].Name, t})
	}
	for i, t := range r.Tenants {
		page.Tenants = append(page.Tenants, row{f.Tenants[i].Name, t})
	}
	return pageTemplate.Execute(out, page)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}.broken{color:#b00}svg{background:#f6f6f2;margin:.4em 0}</style>
<h1>{{.Name}}</h1><p>{{.Summary}}{{if .Broken}}; <b class="broken">{{.Broken}}</b>{{else}}; no rule broken{{end}}</p>
{{range .Plots}}<h2>{{.Title}}</h2><p>{{.Top}}{{range .Curves}} <span style="color:{{.Colour}}">&#9632; {{.Name}}</span>{{end}}</p>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="{{.Title}}">
{{range .Marks}}<rect x="{{.X}}" y="0" width="{{.Width}}" height="100%" fill="#f3d9b1"><title>{{.Name}}</title></rect><text x="{{.X}}" y="12" font-size="11">{{.Name}}</text>{{end}}
{{range .Cells}}<rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="{{.Height}}" fill="#2b6cb0" fill-opacity="{{.Shade}}"><title>{{.Name}}</title></rect>{{end}}
{{range .Curves}}<polyline points="{{.Points}}" fill="none" stroke="{{.Colour}}" stroke-width="1.5"/>{{end}}</svg>
{{end}}{{define "rows"}}<tr><th><th>asked<th>in time<th>late<th>refused<th>failed</tr>
{{range .}}<tr><td>{{.Name}}<td>{{.Requested}}<td>{{.InTime}}<td>{{.Late}}<td>{{.Rejected}}<td>{{.Failed}}</tr>{{end}}{{end}}
<h2>By class</h2><table>{{template "rows" .Classes}}</table>
{{if .Tenants}}<h2>By tenant</h2><table>{{template "rows" .Tenants}}</table>{{end}}</html>
`))
