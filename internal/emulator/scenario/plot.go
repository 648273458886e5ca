package scenario

import (
	"fmt"
	"strings"
	"time"

	"pinedale/internal/emulator/plan"
)

// Sizes of the plots, in pixels.
const (
	plotWidth  = 900.0
	plotHeight = 160.0
	rowHeight  = 10.0
	rowGap     = 1.0
)

const (
	// maxPlotRows limits the rows of the plot of attempts: the servers of a larger fleet share rows.
	maxPlotRows = 60
	// minMarkSeconds is the minimum width of a mark, for faults without a duration.
	minMarkSeconds = 0.3
	// minScale avoids a division by zero where all values of a plot are 0.
	minScale = 1e-9
)

// Colours of curves.
const (
	colourGrey   = "#888"
	colourGreen  = "#276749"
	colourAmber  = "#b7791f"
	colourPurple = "#6b46c1"
	colourRed    = "#b00"
	colourBlue   = "#2b6cb0"
)

// plot is one diagram over the seconds of a run. It has either curves or cells.
type plot struct {
	Title, Top    string
	Width, Height float64
	Marks         []mark
	Curves        []curve
	Cells         []cell
}

// mark highlights the interval of a fault.
type mark struct {
	X, Width float64
	Name     string
}

// curve is a polyline with one point for each second.
type curve struct{ Points, Colour, Name string }

// cell is one rectangle of a heat map. Shade is its opacity, from 0 to 1.
type cell struct {
	X, Y, Width, Height, Shade float64
	Name                       string
}

// series gives the values of a curve.
type series struct {
	name, colour string
	value        func(*plan.Second) float64
}

// tallySeries returns the series of one of the counts in a tally, summed over all classes.
func tallySeries(name, colour string, count func(plan.Tally) int) series {
	value := func(s *plan.Second) float64 { return float64(count(s.Total())) }
	return series{name: name, colour: colour, value: value}
}

// quantileSeries returns the series of a quantile of response times, in milliseconds.
func quantileSeries(name, colour string, quantile float64) series {
	value := func(s *plan.Second) float64 { return s.Quantile(quantile).Seconds() * 1e3 }
	return series{name: name, colour: colour, value: value}
}

// requestPlot plots the number of requests with each outcome.
func (f *File) requestPlot(r *plan.Result) plot {
	return f.curvePlot(r, "Requests per second, by the second of their first client attempt", "a second", []series{
		tallySeries("asked", colourGrey, func(t plan.Tally) int { return t.Requested }),
		tallySeries("in time", colourGreen, func(t plan.Tally) int { return t.InTime }),
		tallySeries("late", colourAmber, func(t plan.Tally) int { return t.Late }),
		tallySeries("refused", colourPurple, func(t plan.Tally) int { return t.Rejected }),
		tallySeries("failed", colourRed, func(t plan.Tally) int { return t.Failed }),
	})
}

// latencyPlot plots quantiles of the response times of successful requests.
func (f *File) latencyPlot(r *plan.Result) plot {
	return f.curvePlot(r, "Response time of successful requests", "ms", []series{
		quantileSeries("median", colourGreen, 0.5),
		quantileSeries("95th percentile", colourBlue, 0.95),
		quantileSeries("99th percentile", colourRed, 0.99),
	})
}

// curvePlot draws each series as a curve, all on one scale.
func (f *File) curvePlot(r *plan.Result, title, unit string, curves []series) plot {
	highest := 0.0
	for _, s := range curves {
		for i := range r.Seconds {
			highest = max(highest, s.value(&r.Seconds[i]))
		}
	}
	p := plot{
		Title:  title,
		Top:    fmt.Sprintf("maximum: %.0f %s", highest, unit),
		Width:  plotWidth,
		Height: plotHeight,
		Marks:  f.marks(r),
	}
	for _, s := range curves {
		p.Curves = append(p.Curves, curve{Points: s.points(r, highest), Colour: s.colour, Name: s.name})
	}
	return p
}

// points returns the points of a polyline, scaled so that highest is at the top of the plot.
func (s *series) points(r *plan.Result, highest float64) string {
	var points strings.Builder
	for i := range r.Seconds {
		x := (float64(i) + 0.5) * plotWidth / float64(len(r.Seconds))
		y := plotHeight - s.value(&r.Seconds[i])/max(highest, minScale)*plotHeight
		fmt.Fprintf(&points, "%.1f,%.1f ", x, y)
	}
	return points.String()
}

// marks returns a mark for each fault.
func (f *File) marks(r *plan.Result) []mark {
	var marks []mark
	scale := plotWidth / float64(max(1, len(r.Seconds)))
	for _, fault := range f.Faults {
		from := time.Duration(fault.From).Seconds()
		until := max(time.Duration(fault.Until).Seconds(), from+minMarkSeconds)
		marks = append(marks, mark{X: from * scale, Width: (until - from) * scale, Name: string(fault.Kind)})
	}
	return marks
}

// attemptPlot draws a heat map of the attempts at each server in each second.
func (f *File) attemptPlot(s *plan.Scenario, r *plan.Result) plot {
	serversPerRow := (len(s.Servers) + maxPlotRows - 1) / maxPlotRows
	var rows [][]float64
	highest := 1.0
	for first := 0; first < len(s.Servers); first += serversPerRow {
		row := attemptsPerSecond(r, first, min(len(s.Servers), first+serversPerRow))
		for _, attempts := range row {
			highest = max(highest, attempts)
		}
		rows = append(rows, row)
	}
	p := plot{
		Title:  "Attempts per second, by server",
		Top:    fmt.Sprintf("darkest cell: %.0f", highest),
		Width:  plotWidth,
		Height: float64(len(rows)) * rowHeight,
	}
	width := plotWidth / float64(max(1, len(r.Seconds)))
	for i, row := range rows {
		first := i * serversPerRow
		name := s.Servers[first].Name
		if serversPerRow > 1 {
			others := min(len(s.Servers)-first, serversPerRow) - 1
			name = fmt.Sprintf("%s and %d more", name, others)
		}
		for second, attempts := range row {
			p.Cells = append(p.Cells, cell{
				X:      float64(second) * width,
				Y:      float64(i) * rowHeight,
				Width:  width,
				Height: rowHeight - rowGap,
				Shade:  attempts / highest,
				Name:   fmt.Sprintf("%s, second %d: %.0f", name, second, attempts),
			})
		}
	}
	return p
}

// attemptsPerSecond returns, for each second, the sum of the attempts at the servers from index first up to before end.
func attemptsPerSecond(r *plan.Result, first, end int) []float64 {
	sums := make([]float64, len(r.Seconds))
	for i := range r.Seconds {
		for _, attempts := range r.Seconds[i].Attempts[first:end] {
			sums[i] += float64(attempts)
		}
	}
	return sums
}
