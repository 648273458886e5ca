package scenario

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"

	"pinedale/internal/emulator/play"
)

// windowFor is the window whose worst one is told.
const windowFor = 10

// WorstWindow is the least share served in time over any 10 s with requests.
func WorstWindow(r *play.Result) float64 {
	worst := 1.0
	for i := range r.Seconds {
		var in, asked int
		for _, t := range r.Seconds[i:min(len(r.Seconds), i+windowFor)] {
			in, asked = in+t.InTime, asked+t.Asked
		}
		if asked > 0 && i+windowFor <= len(r.Seconds) {
			worst = min(worst, float64(in)/float64(asked))
		}
	}
	return worst
}

// Print writes a play's result for a reader.
func (f *File) Print(out io.Writer, r *play.Result) {
	fmt.Fprintf(out, "%-16s %8s %9s %7s %8s %7s\n", "class", "asked", "in time", "late", "refused", "failed")
	for i, t := range r.Classes {
		fmt.Fprintf(out, "%-16s %8d %8.1f%% %7d %8d %7d\n", f.Classes[i].Name, t.Asked, 100*float64(t.InTime)/float64(max(1, t.Asked)), t.Late, t.Refused, t.Failed)
	}
	fmt.Fprintf(out, "in time %.1f%%, in the worst 10 s %.1f%%; attempts by server %v; probes %d\n", 100*r.InTime(), 100*WorstWindow(r), r.Sends, r.Probes)
	if why := r.Broken(); why != "" {
		fmt.Fprintf(out, "BROKEN: %s\n", why)
	} else {
		fmt.Fprintln(out, "no rule broken")
	}
}

// HTML writes a play's result as one page that needs nothing else.
func (f *File) HTML(out io.Writer, r *play.Result) error {
	type mark struct {
		X, Width float64
		Name     string
	}
	type bar struct {
		X, Y, Height float64
		Name         string
		Count        int
	}
	const width, height = 900.0, 160.0
	page := struct {
		Name, Summary, Broken  string
		Width, Height          float64
		Asked, Served, Refused string
		Marks                  []mark
		Bars                   []bar
		BarWidth               float64
		Classes                []Class
		Tallies                []play.Tally
	}{Name: f.Name, Broken: r.Broken(), Width: width, Height: height, Classes: f.Classes, Tallies: r.Classes}
	page.Summary = fmt.Sprintf("%.1f%% served in time, %.1f%% in the worst 10 s", 100*r.InTime(), 100*WorstWindow(r))
	most, mostSends := 1, 1
	for _, t := range r.Seconds {
		most = max(most, t.Asked)
	}
	for _, n := range r.Sends {
		mostSends = max(mostSends, n)
	}
	seconds := float64(max(1, len(r.Seconds)-1))
	line := func(value func(play.Tally) int) string {
		var b strings.Builder
		for i, t := range r.Seconds {
			fmt.Fprintf(&b, "%.1f,%.1f ", float64(i)/seconds*width, height-float64(value(t))/float64(most)*height)
		}
		return b.String()
	}
	page.Asked = line(func(t play.Tally) int { return t.Asked })
	page.Served = line(func(t play.Tally) int { return t.InTime })
	page.Refused = line(func(t play.Tally) int { return t.Refused + t.Failed + t.Late })
	for _, x := range f.Troubles {
		at, until := time.Duration(x.From).Seconds(), max(time.Duration(x.Until).Seconds(), time.Duration(x.From).Seconds()+0.3)
		page.Marks = append(page.Marks, mark{at / seconds * width, (until - at) / seconds * width, x.Kind})
	}
	page.BarWidth = width/float64(len(r.Sends)) - 2
	for i, n := range r.Sends {
		h := float64(n) / float64(mostSends) * height
		page.Bars = append(page.Bars, bar{float64(i) * width / float64(len(r.Sends)), height - h, h, fmt.Sprint("server ", i+1), n})
	}
	return pageTemplate.Execute(out, page)
}

var pageTemplate = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body{font:15px sans-serif;margin:2em;max-width:60em}table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}
td:first-child,th:first-child{text-align:left}.broken{color:#b00}svg{background:#f6f6f2;margin:.4em 0}</style>
<h1>{{.Name}}</h1><p>{{.Summary}}{{if .Broken}}; <b class="broken">{{.Broken}}</b>{{else}}; no rule broken{{end}}</p>
<h2>Requests a second</h2>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="requests a second">
{{range .Marks}}<rect x="{{.X}}" y="0" width="{{.Width}}" height="100%" fill="#f3d9b1"><title>{{.Name}}</title></rect><text x="{{.X}}" y="12" font-size="11">{{.Name}}</text>{{end}}
<polyline points="{{.Asked}}" fill="none" stroke="#888"/><polyline points="{{.Served}}" fill="none" stroke="#276749" stroke-width="2"/>
<polyline points="{{.Refused}}" fill="none" stroke="#b00"/></svg>
<p>grey: asked; green: served in time; red: late, refused or failed; shaded: troubles</p>
<h2>Attempts by server</h2>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="attempts by server">
{{$w := .BarWidth}}{{range .Bars}}<rect x="{{.X}}" y="{{.Y}}" width="{{$w}}" height="{{.Height}}" fill="#2b6cb0"><title>{{.Name}}: {{.Count}}</title></rect>{{end}}</svg>
<h2>By class</h2><table><tr><th>class<th>asked<th>in time<th>late<th>refused<th>failed</tr>
{{range $i, $t := .Tallies}}<tr><td>{{(index $.Classes $i).Name}}<td>{{$t.Asked}}<td>{{$t.InTime}}<td>{{$t.Late}}<td>{{$t.Refused}}<td>{{$t.Failed}}</tr>{{end}}
</table></html>
`))
