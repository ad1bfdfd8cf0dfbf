package servicelevel

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

//go:embed report.html.tmpl
var pageText string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(fraction float64) string { return fmt.Sprintf("%.1f%%", 100*fraction) },
	"target":  func(fraction float64) string { return fmt.Sprintf("%.6g%%", 100*fraction) },
	"rate":    func(burn float64) string { return fmt.Sprintf("%.2f", burn) },
	"tone":    severityClass,
	"time":    func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04 UTC") },
	"chart":   newChart,
	"scope":   scopeText,
	"shown":   summaryCells,
	"clamp":   func(fraction float64) float64 { return 100 * min(max(fraction, 0), 1) },
}).Parse(pageText))

// WriteHTML writes the report as a self-contained HTML page.
func (r *Report) WriteHTML(w io.Writer) error {
	return pageTemplate.Execute(w, r)
}

// severityClass returns the CSS class of a burn rate.
func severityClass(burn float64) string {
	switch {
	case burn >= 6:
		return "bad"
	case burn >= 1:
		return "warn"
	default:
		return "good"
	}
}

// cell is one burn rate in the summary table.
type cell struct {
	Class string
	Text  string
}

// summaryCells returns one cell for each window of the summary table. The cell of a
// window that is longer than the objective's own window holds a dash.
func summaryCells(r ObjectiveReport) []cell {
	cells := make([]cell, 0, len(summaryWindows))
	for _, minutes := range summaryWindows {
		c := cell{Text: "–"}
		for _, window := range r.Windows {
			if window.minutes == minutes {
				c = cell{Class: severityClass(window.Burn), Text: fmt.Sprintf("%.2f", window.Burn)}
			}
		}
		cells = append(cells, c)
	}
	return cells
}

var summaryWindows = []Minute{fiveMinutes, hour, sixHours, threeDays}

func scopeText(r ObjectiveReport) string {
	var parts []string
	if r.Service != "" {
		parts = append(parts, "service "+r.Service)
	}
	if r.Account != "" {
		parts = append(parts, "client account "+r.Account)
	}
	return strings.Join(parts, ", ")
}

// Position and size of the chart area in pixels, without margins.
const (
	chartWidth  = 640.0
	chartHeight = 120.0
	chartLeft   = 46.0
	chartTop    = 8.0
)

// chart is a bar chart of the burn rate by period.
type chart struct {
	Bars      []bar
	UnitBurnY float64 // y coordinate of burn rate 1
	TopY      float64
	BottomY   float64
	Left      float64
	Right     float64
	Max       float64 // burn rate at the top
	From      time.Time
	To        time.Time
}

// bar is one period of a chart.
type bar struct {
	X, Y, Width, Height float64
	Class               string
	Label               string
}

const (
	minChartBurn = 2.0 // keeps the line of burn rate 1 below the top
	minBarHeight = 2.0 // pixels; keeps a period without failures visible
)

// newChart returns the chart of an objective's points, or nil if there are none.
func newChart(r ObjectiveReport) *chart {
	if len(r.Points) == 0 {
		return nil
	}
	first, last := r.Points[0].Start, r.Points[len(r.Points)-1].Start
	c := &chart{
		TopY: chartTop, BottomY: chartTop + chartHeight, Left: chartLeft, Right: chartLeft + chartWidth,
		Max: minChartBurn, From: first, To: last,
	}
	for _, point := range r.Points {
		c.Max = max(c.Max, point.Burn)
	}
	step := shortestInterval(r.Points)
	span := last.Sub(first) + step
	width := chartWidth * float64(step) / float64(span)
	for _, point := range r.Points {
		height := max(chartHeight*point.Burn/c.Max, minBarHeight)
		c.Bars = append(c.Bars, bar{
			X:      chartLeft + chartWidth*float64(point.Start.Sub(first))/float64(span),
			Y:      c.BottomY - height,
			Width:  max(width*0.9, 0.5),
			Height: height,
			Class:  severityClass(point.Burn),
			Label:  fmt.Sprintf("%s: burn %.2f of %d requests", point.Start.UTC().Format("2006-01-02 15:04"), point.Burn, point.Total),
		})
	}
	c.UnitBurnY = c.BottomY - chartHeight/c.Max
	return c
}

// shortestInterval returns the shortest time between two adjacent points, or an hour
// for a single point.
func shortestInterval(points []Point) time.Duration {
	shortest := time.Duration(0)
	for i := 1; i < len(points); i++ {
		interval := points[i].Start.Sub(points[i-1].Start)
		if shortest == 0 || interval < shortest {
			shortest = interval
		}
	}
	if shortest == 0 {
		return time.Hour
	}
	return shortest
}
