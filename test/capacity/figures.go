package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"text/tabwriter"
)

// The size to design for.
const (
	designHosts    = 660
	designDomains  = 11
	hostsPerDomain = designHosts / designDomains
	maxDifference  = 0.3 // between a measured slope and the one on the page
)

// point is one measurement of y at size x.
type point struct {
	x float64
	y float64
}

// Figure is a straight line through measurements.
type Figure struct {
	Name   string  `json:"name"`
	Unit   string  `json:"unit"`
	Fixed  float64 `json:"fixed"`
	Slope  float64 `json:"slope"`
	Points []point `json:"-"`
}

// newFigure fits a line by least squares.
func newFigure(name, unit string, points []point) Figure {
	var sx, sy, sxx, sxy float64
	for _, p := range points {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	n := float64(len(points))
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Figure{Name: name, Unit: unit, Slope: slope, Fixed: (sy - slope*sx) / n, Points: points}
}

// At returns the value at size x.
func (f Figure) At(x float64) float64 { return f.Fixed + f.Slope*x }

// fleetFigures fits each cost against the hosts of a domain and against the
// number of domains.
func fleetFigures(samples []sample) []Figure {
	quantities := []struct {
		name string
		unit string
		of   func(sample) float64
	}{
		{"bytes of a host", "bytes/s", func(s sample) float64 { return s.hostBytes }},
		{"bytes of a leader", "bytes/s", func(s sample) float64 { return s.leaderBytes }},
		{"processor time", "cores a host", func(s sample) float64 { return s.cpu }},
		{"heap", "bytes a host", func(s sample) float64 { return s.heap }},
		{"store reads", "calls/s", func(s sample) float64 { return s.storeReads }},
		{"store writes", "calls/s", func(s sample) float64 { return s.storeWrites }},
		{"time to in force", "seconds", func(s sample) float64 { return s.inForce.Seconds() }},
	}
	var figures []Figure
	for _, q := range quantities {
		var byHosts, byDomains []point
		for _, s := range samples {
			if s.domains == sizes[0].domains {
				byHosts = append(byHosts, point{x: float64(s.hosts), y: q.of(s)})
			}
			if s.hosts == sizes[0].hosts {
				byDomains = append(byDomains, point{x: float64(s.domains), y: q.of(s)})
			}
		}
		figures = append(figures,
			newFigure(q.name+" by hosts in a domain", q.unit, byHosts),
			newFigure(q.name+" by domains", q.unit, byDomains))
	}
	return figures
}

// atDesignSize returns the value at the size to design for: the line by hosts at
// the hosts of a domain, plus the slope by domains for the further domains.
func atDesignSize(byHosts, byDomains Figure) float64 {
	more := float64(designDomains - sizes[0].domains)
	return byHosts.At(hostsPerDomain) + byDomains.Slope*more
}

func printFigures(w io.Writer, figures []Figure) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "figure\tunit\tfixed\tslope")
	for _, f := range figures {
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g\n", f.Name, f.Unit, f.Fixed, f.Slope)
	}
	_ = table.Flush() // standard output
	for i := 0; i+1 < len(figures); i += 2 {
		if strings.HasSuffix(figures[i+1].Name, " by domains") {
			name := strings.TrimSuffix(figures[i+1].Name, " by domains")
			fmt.Fprintf(w, "at %d hosts in %d domains: %s %.4g %s\n", designHosts, designDomains, name, atDesignSize(figures[i], figures[i+1]), figures[i].Unit)
		}
	}
	for _, f := range figures {
		line, err := json.Marshal(f)
		if err == nil {
			fmt.Fprintf(w, "%s %s\n", figurePrefix, line)
		}
	}
}

// figurePrefix begins each line of the page that holds a figure.
const figurePrefix = "figure:"

// PageError lists the figures that differ from the page.
type PageError struct {
	Page        string
	Differences []string
}

// Error implements error.
func (e *PageError) Error() string {
	return fmt.Sprintf("%s differs from the measurement:\n%s", e.Page, strings.Join(e.Differences, "\n"))
}

// checkPage compares the figures with those on the page. A slope that is small
// against its fixed cost is compared through the value at the design size.
func checkPage(page string, figures []Figure) error {
	written, err := readFigures(page)
	if err != nil {
		return err
	}
	failure := &PageError{Page: page}
	for _, f := range figures {
		on, ok := written[f.Name]
		if !ok {
			failure.Differences = append(failure.Differences, f.Name+" is missing")
			continue
		}
		if difference := relativeDifference(on, f); difference > maxDifference {
			failure.Differences = append(failure.Differences, fmt.Sprintf("%s: slope %.4g on the page, %.4g measured (%.0f%%)", f.Name, on.Slope, f.Slope, 100*difference))
		}
	}
	if len(failure.Differences) > 0 {
		return failure
	}
	return nil
}

func relativeDifference(a, b Figure) float64 {
	x, y := a.At(hostsPerDomain), b.At(hostsPerDomain)
	if a.Fixed == 0 || strings.Contains(a.Unit, "block") {
		x, y = a.Slope, b.Slope
	}
	largest := max(math.Abs(x), math.Abs(y))
	if largest == 0 {
		return 0
	}
	return math.Abs(x-y) / largest
}

func readFigures(page string) (map[string]Figure, error) {
	file, err := os.Open(page)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	figures := map[string]Figure{}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		text, ok := strings.CutPrefix(strings.TrimSpace(scanner.Text()), figurePrefix)
		if !ok {
			continue
		}
		var f Figure
		if err := json.Unmarshal([]byte(text), &f); err != nil {
			return nil, err
		}
		figures[f.Name] = f
	}
	return figures, scanner.Err()
}
