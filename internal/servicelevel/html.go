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
	"percent": func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
	"target":  func(share float64) string { return fmt.Sprintf("%.6g%%", 100*share) },
	"rate":    func(burn float64) string { return fmt.Sprintf("%.2f", burn) },
	"tone":    tone,
	"moment":  func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04 UTC") },
	"plot":    newPlot,
	"scope":   scopeText,
	"shown":   shownBurns,
	"clamp":   func(share float64) float64 { return 100 * min(max(share, 0), 1) },
}).Parse(pageText))

// WriteHTML writes the report as one page that loads nothing else.
func (r *Report) WriteHTML(w io.Writer) error {
	return pageTemplate.Execute(w, r)
}

// tone returns the style of a burn rate.
func tone(burn float64) string {
	switch {
	case burn >= 6:
		return "bad"
	case burn >= 1:
		return "warn"
	default:
		return "good"
	}
}

// cell is one burn rate in the summary.
type cell struct {
	Tone string
	Text string
}

// shownBurns returns one cell for each window of the summary. A window longer
// than the objective's own has none.
func shownBurns(r ObjectiveReport) []cell {
	cells := make([]cell, 0, len(summaryWindows))
	for _, minutes := range summaryWindows {
		c := cell{Text: "–"}
		for _, window := range r.Windows {
			if window.minutes == minutes {
				c = cell{Tone: tone(window.Burn), Text: fmt.Sprintf("%.2f", window.Burn)}
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

// Size of a plot in pixels, without its margins.
const (
	plotWidth  = 640.0
	plotHeight = 120.0
	plotLeft   = 46.0
	plotTop    = 8.0
)

// plot is a chart of burn by period.
type plot struct {
	Bars    []bar
	PaceY   float64 // height of burn 1
	TopY    float64
	BottomY float64
	Left    float64
	Right   float64
	Max     float64 // burn at the top
	From    time.Time
	To      time.Time
}

// bar is one period of a plot.
type bar struct {
	X, Y, Width, Height float64
	Tone                string
	Label               string
}

const (
	minPlotBurn  = 2.0 // the pace of burn 1 is never at the top
	minBarHeight = 2.0 // pixels, so that a period without failures can be seen
)

// newPlot draws the points of an objective. It returns nil if there are none.
func newPlot(r ObjectiveReport) *plot {
	if len(r.Points) == 0 {
		return nil
	}
	first, last := r.Points[0].Start, r.Points[len(r.Points)-1].Start
	p := &plot{
		TopY: plotTop, BottomY: plotTop + plotHeight, Left: plotLeft, Right: plotLeft + plotWidth,
		Max: minPlotBurn, From: first, To: last,
	}
	for _, point := range r.Points {
		p.Max = max(p.Max, point.Burn)
	}
	step := period(r.Points)
	span := last.Sub(first) + step
	width := plotWidth * float64(step) / float64(span)
	for _, point := range r.Points {
		height := max(plotHeight*point.Burn/p.Max, minBarHeight)
		p.Bars = append(p.Bars, bar{
			X:      plotLeft + plotWidth*float64(point.Start.Sub(first))/float64(span),
			Y:      p.BottomY - height,
			Width:  max(width*0.9, 0.5),
			Height: height,
			Tone:   tone(point.Burn),
			Label:  fmt.Sprintf("%s: burn %.2f of %d requests", point.Start.UTC().Format("2006-01-02 15:04"), point.Burn, point.Total),
		})
	}
	p.PaceY = p.BottomY - plotHeight/p.Max
	return p
}

// period returns the shortest distance between two points; an hour for one point.
func period(points []Point) time.Duration {
	shortest := time.Duration(0)
	for i := 1; i < len(points); i++ {
		distance := points[i].Start.Sub(points[i-1].Start)
		if shortest == 0 || distance < shortest {
			shortest = distance
		}
	}
	if shortest == 0 {
		return time.Hour
	}
	return shortest
}
