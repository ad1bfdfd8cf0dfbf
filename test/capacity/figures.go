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

// Fleet size that the system is designed for.
const (
	designHosts           = 660
	designDomains         = 11
	hostsPerDomain        = designHosts / designDomains
	maxRelativeDifference = 0.3 // between a measured figure and the one on the page
)

// measurement is a cost y measured at size x.
type measurement struct {
	x float64
	y float64
}

// Figure is a line fitted to measurements: Fixed is its value at size zero, and
// Slope its increase for each host, failure domain or client block.
type Figure struct {
	Name         string        `json:"name"`
	Unit         string        `json:"unit"`
	Fixed        float64       `json:"fixed"`
	Slope        float64       `json:"slope"`
	Measurements []measurement `json:"-"`
}

// newFigure fits a line to the measurements by least squares.
func newFigure(name, unit string, measurements []measurement) Figure {
	var sx, sy, sxx, sxy float64
	for _, p := range measurements {
		sx += p.x
		sy += p.y
		sxx += p.x * p.x
		sxy += p.x * p.y
	}
	n := float64(len(measurements))
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return Figure{Name: name, Unit: unit, Slope: slope, Fixed: (sy - slope*sx) / n, Measurements: measurements}
}

// At returns the value of the line at size x.
func (f Figure) At(x float64) float64 { return f.Fixed + f.Slope*x }

// fleetFigures fits each cost twice: against the number of hosts in a failure
// domain and against the number of failure domains.
func fleetFigures(samples []sample) []Figure {
	quantities := []struct {
		name  string
		unit  string
		value func(sample) float64
	}{
		{"bytes of a host", "bytes/s", func(s sample) float64 { return s.hostBytes }},
		{"bytes of a leader", "bytes/s", func(s sample) float64 { return s.leaderBytes }},
		{"processor time", "cores a host", func(s sample) float64 { return s.cpuCores }},
		{"heap", "bytes a host", func(s sample) float64 { return s.heap }},
		{"store reads", "calls/s", func(s sample) float64 { return s.storeReads }},
		{"store writes", "calls/s", func(s sample) float64 { return s.storeWrites }},
		{"time to in force", "seconds", func(s sample) float64 { return s.inForce.Seconds() }},
	}
	var figures []Figure
	for _, q := range quantities {
		var byHosts, byDomains []measurement
		for _, s := range samples {
			if s.domains == fleetSizes[0].domains {
				byHosts = append(byHosts, measurement{x: float64(s.hosts), y: q.value(s)})
			}
			if s.hosts == fleetSizes[0].hosts {
				byDomains = append(byDomains, measurement{x: float64(s.domains), y: q.value(s)})
			}
		}
		figures = append(figures,
			newFigure(q.name+" by hosts in a domain", q.unit, byHosts),
			newFigure(q.name+" by domains", q.unit, byDomains))
	}
	return figures
}

// atDesignSize extrapolates a cost to the design size: its value by hosts at
// hostsPerDomain, plus the slope by domains for each domain beyond the measured number.
func atDesignSize(byHosts, byDomains Figure) float64 {
	furtherDomains := float64(designDomains - fleetSizes[0].domains)
	return byHosts.At(hostsPerDomain) + byDomains.Slope*furtherDomains
}

// printFigures prints a table of the figures, the costs at the design size, and
// the lines that checkPage reads from the page.
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

// figurePrefix starts each line of the page that holds a figure as JSON.
const figurePrefix = "figure:"

// PageError reports the figures that differ from the page.
type PageError struct {
	Page        string
	Differences []string
}

// Error implements error.
func (e *PageError) Error() string {
	return fmt.Sprintf("%s differs from the measurement:\n%s", e.Page, strings.Join(e.Differences, "\n"))
}

// checkPage compares the figures with those on the documentation page at the path
// page, which is docs/CAPACITY.md in make capacity. It returns a *PageError if any
// differs by more than maxRelativeDifference or is missing on the page.
func checkPage(page string, figures []Figure) error {
	documentedFigures, err := readFigures(page)
	if err != nil {
		return err
	}
	failure := &PageError{Page: page}
	for _, f := range figures {
		documented, ok := documentedFigures[f.Name]
		if !ok {
			failure.Differences = append(failure.Differences, f.Name+" is missing")
			continue
		}
		if difference := relativeDifference(documented, f); difference > maxRelativeDifference {
			failure.Differences = append(failure.Differences, fmt.Sprintf("%s: slope %.4g on the page, %.4g measured (%.0f%%)", f.Name, documented.Slope, f.Slope, 100*difference))
		}
	}
	if len(failure.Differences) > 0 {
		return failure
	}
	return nil
}

// relativeDifference returns the difference of two figures relative to the larger
// one. Figures without a fixed cost and figures per client block are compared by
// slope. All others are compared by their value at hostsPerDomain, so that a slope
// that is small against the fixed cost has little weight.
func relativeDifference(documented, measured Figure) float64 {
	x, y := documented.At(hostsPerDomain), measured.At(hostsPerDomain)
	if documented.Fixed == 0 || strings.Contains(documented.Unit, "block") {
		x, y = documented.Slope, measured.Slope
	}
	largest := max(math.Abs(x), math.Abs(y))
	if largest == 0 {
		return 0
	}
	return math.Abs(x-y) / largest
}

// readFigures returns the figures on the page by name.
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
