package faulttest

import (
	"bytes"
	"fmt"
	"html"
	"image/color"
	"os"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"pinedale/internal/faulttest/history"
)

// The plots' size, and the span of one point of the service's.
const (
	plotWidth, plotHeight = 26 * vg.Centimeter, 8 * vg.Centimeter
	pointSpan             = 250 * time.Millisecond
)

var (
	faultColor = color.RGBA{R: 220, G: 60, B: 40, A: 40}
	lineColors = []color.Color{color.RGBA{R: 20, G: 90, B: 170, A: 255}, color.RGBA{R: 30, G: 140, B: 60, A: 255}, color.RGBA{R: 190, G: 120, B: 0, A: 255},
		color.RGBA{R: 130, G: 50, B: 150, A: 255}, color.RGBA{R: 90, G: 90, B: 90, A: 255}}
)

// Report writes a page of plots on a run.
func Report(path string, h *history.History) error {
	service, err := servicePlot(h)
	if err != nil {
		return err
	}
	views, err := viewsPlot(h)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>%[1]s</title></head><body style=\"font-family:sans-serif\"><h1>%[1]s</h1>\n", html.EscapeString(h.Schedule.Name))
	s := h.Summarize()
	fmt.Fprintf(&b, "<p>%d effects, %d tries, %d effects served; answers by code %v; same copies %v after the last fault and request.</p>\n", s.Effects, s.Attempts, s.Served, s.ByStatus, h.ConvergenceTime.Round(time.Millisecond))
	found := h.Check()
	fmt.Fprintf(&b, "<p>%d findings</p><ul>", len(found))
	for _, f := range found {
		fmt.Fprintf(&b, "<li>%s</li>", html.EscapeString(f.String()))
	}
	fmt.Fprintf(&b, "</ul>%s%s<h2>Faults</h2><ul>", service, views)
	for _, f := range h.Schedule.Faults {
		fmt.Fprintf(&b, "<li>%s</li>", html.EscapeString(f.String()))
	}
	b.WriteString("</ul></body></html>\n")
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// draw makes an SVG of a plot, with the faults marked behind it.
func draw(p *plot.Plot, h *history.History, top float64) (string, error) {
	for _, f := range h.Schedule.Faults {
		from, to := f.StartTime().Seconds(), max(f.EndTime(), f.StartTime()+pointSpan/5).Seconds()
		area, err := plotter.NewPolygon(plotter.XYs{{X: from, Y: 0}, {X: to, Y: 0}, {X: to, Y: top}, {X: from, Y: top}})
		if err != nil {
			return "", err
		}
		area.Color, area.Width = faultColor, 0
		p.Add(area)
	}
	p.X.Label.Text, p.X.Min, p.Y.Min, p.Y.Max = "seconds", 0, 0, top
	p.Legend.Top = true
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", err
	}
	_, svg, _ := strings.Cut(b.String(), "?>")
	return "<div>" + svg + "</div>\n", nil
}

func addLine(p *plot.Plot, name string, points plotter.XYs, n int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color, line.Width = lineColors[n%len(lineColors)], vg.Points(1.2)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// servicePlot is how many tries end well, and otherwise, by the instant of their asking.
func servicePlot(h *history.History) (string, error) {
	names := []string{"served", "refused", "failed", "given up by clients", "without answer"}
	counts := make([]map[int]int, len(names))
	for i := range counts {
		counts[i] = map[int]int{}
	}
	last := 0
	for _, t := range h.Attempts {
		kind := 4
		switch {
		case t.Outcome == history.Cancelled:
			kind = 3
		case t.Outcome == history.Answered && t.Status == 200:
			kind = 0
		case t.Outcome == history.Answered && (t.Status == 503 || t.Status == 429):
			kind = 1
		case t.Outcome == history.Answered:
			kind = 2
		}
		at := int(t.Requested / pointSpan)
		counts[kind][at]++
		last = max(last, at)
	}
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Tries by what became of them", "a second"
	top := 1.0
	for n, name := range names {
		points := make(plotter.XYs, last+1)
		for at := range points {
			points[at].X = (time.Duration(at) * pointSpan).Seconds()
			points[at].Y = float64(counts[n][at]) / pointSpan.Seconds()
			top = max(top, points[at].Y)
		}
		if err := addLine(p, name, points, n); err != nil {
			return "", err
		}
	}
	return draw(p, h, top)
}

// viewsPlot is how many instances each instance takes to be there.
func viewsPlot(h *history.History) (string, error) {
	of := map[string]plotter.XYs{}
	var names []string
	for _, v := range h.Views {
		if of[v.Instance] == nil {
			names = append(names, v.Instance)
		}
		of[v.Instance] = append(of[v.Instance], plotter.XY{X: v.At.Seconds(), Y: float64(v.Alive)})
	}
	slices.Sort(names)
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = "Instances that each takes to be there", "instances"
	for n, name := range names {
		if err := addLine(p, name, of[name], n); err != nil {
			return "", err
		}
	}
	return draw(p, h, float64(h.Schedule.Instances)+1)
}
