package faulttest

import (
	"bytes"
	"image/color"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"pinedale/internal/faulttest/history"
)

const (
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	lineWidth  = 1.2 // points

	servicePointSpan = 250 * time.Millisecond // covered by one point of the service plot
	minFaultWidth    = servicePointSpan / 5   // of the marked area, for faults without duration
)

// faultColor marks the periods of faults.
var faultColor = color.RGBA{R: 220, G: 60, B: 40, A: 40}

// lineColors are the colors of a plot's lines, in order.
var lineColors = []color.Color{
	color.RGBA{R: 20, G: 90, B: 170, A: 255},
	color.RGBA{R: 30, G: 140, B: 60, A: 255},
	color.RGBA{R: 190, G: 120, B: 0, A: 255},
	color.RGBA{R: 130, G: 50, B: 150, A: 255},
	color.RGBA{R: 90, G: 90, B: 90, A: 255},
}

// serviceCategory is a category of attempts, with a line of its own in the service plot.
type serviceCategory int

// The categories of attempts, in the order of their lines.
const (
	categoryServed serviceCategory = iota
	categoryRejected
	categoryFailed
	categoryCancelled
	categoryNoResponse
	categoryCount
)

// categoryLabels are the labels of the categories in the legend.
var categoryLabels = [categoryCount]string{
	categoryServed:     "served",
	categoryRejected:   "refused",
	categoryFailed:     "failed",
	categoryCancelled:  "cancelled by clients",
	categoryNoResponse: "no response",
}

// categorize returns the category of an attempt.
func categorize(attempt *history.Attempt) serviceCategory {
	switch attempt.Outcome {
	case history.Cancelled:
		return categoryCancelled
	case history.Answered:
		switch attempt.Status {
		case http.StatusOK:
			return categoryServed
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			return categoryRejected
		default:
			return categoryFailed
		}
	default:
		return categoryNoResponse
	}
}

// plotService plots the attempts per second of each category, by the time at which they were requested.
func plotService(h *history.History) (string, error) {
	var counts [categoryCount]map[int]int // by index of the point in the plot
	for category := range counts {
		counts[category] = map[int]int{}
	}
	lastPoint := 0
	for i := range h.Attempts {
		attempt := &h.Attempts[i]
		point := int(attempt.Requested / servicePointSpan)
		counts[categorize(attempt)][point]++
		lastPoint = max(lastPoint, point)
	}
	p := plot.New()
	p.Title.Text = "Attempts by outcome"
	p.Y.Label.Text = "attempts per second"
	top := 1.0
	for category, label := range categoryLabels {
		points := make(plotter.XYs, lastPoint+1)
		for i := range points {
			points[i].X = (time.Duration(i) * servicePointSpan).Seconds()
			points[i].Y = float64(counts[category][i]) / servicePointSpan.Seconds()
			top = max(top, points[i].Y)
		}
		if err := addLine(p, label, points, category); err != nil {
			return "", err
		}
	}
	return renderSVG(p, h, top)
}

// plotViews plots how many instances each instance considered alive.
func plotViews(h *history.History) (string, error) {
	points := map[string]plotter.XYs{}
	for _, view := range h.Views {
		point := plotter.XY{X: view.At.Seconds(), Y: float64(view.Alive)}
		points[view.Instance] = append(points[view.Instance], point)
	}
	p := plot.New()
	p.Title.Text = "Instances that each instance considers alive"
	p.Y.Label.Text = "instances"
	for i, instance := range slices.Sorted(maps.Keys(points)) {
		if err := addLine(p, instance, points[instance], i); err != nil {
			return "", err
		}
	}
	return renderSVG(p, h, float64(h.Schedule.Instances)+1)
}

// addLine adds a line and its entry in the legend. colorIndex selects the color of the line.
func addLine(p *plot.Plot, label string, points plotter.XYs, colorIndex int) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = lineColors[colorIndex%len(lineColors)]
	line.Width = vg.Points(lineWidth)
	p.Add(line)
	p.Legend.Add(label, line)
	return nil
}

// renderSVG marks the history's faults in a plot, whose vertical axis ends at top, and renders the plot as SVG.
func renderSVG(p *plot.Plot, h *history.History, top float64) (string, error) {
	for i := range h.Schedule.Faults {
		fault := &h.Schedule.Faults[i]
		start := fault.StartTime()
		end := max(fault.EndTime(), start+minFaultWidth)
		if err := addFaultArea(p, start, end, top); err != nil {
			return "", err
		}
	}
	p.X.Label.Text = "seconds"
	p.X.Min = 0
	p.Y.Min, p.Y.Max = 0, top
	p.Legend.Top = true
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var document bytes.Buffer
	if _, err := writer.WriteTo(&document); err != nil {
		return "", err
	}
	_, element, _ := strings.Cut(document.String(), "?>") // without the XML declaration
	return element, nil
}

// addFaultArea marks the period of a fault.
func addFaultArea(p *plot.Plot, start, end time.Duration, top float64) error {
	startX, endX := start.Seconds(), end.Seconds()
	area, err := plotter.NewPolygon(plotter.XYs{
		{X: startX, Y: 0},
		{X: endX, Y: 0},
		{X: endX, Y: top},
		{X: startX, Y: top},
	})
	if err != nil {
		return err
	}
	area.Color = faultColor
	area.Width = 0
	p.Add(area)
	return nil
}
