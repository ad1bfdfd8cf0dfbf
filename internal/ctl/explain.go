package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/explain"
)

func (a *App) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "explain the outcome of one request from the logs of hosts",
		ArgsUsage: "REQUEST FILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return &UsageError{Command: c.FullName(), Wanted: []string{"REQUEST", "FILE..."}, Given: c.Args().Len()}
			}
			lines, err := readLogs(c.Args().Tail())
			if err != nil {
				return err
			}
			report, err := explain.Request(c.Args().First(), lines)
			if err != nil {
				return err
			}
			return a.print(selectedFormat(c), report, func(w io.Writer) { writeExplanation(w, report) })
		},
	}
}

func readLogs(paths []string) ([]explain.Line, error) {
	var all []explain.Line
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := explain.Read(file)
		_ = file.Close() // opened for reading only
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

const timeOfDayLayout = "15:04:05.000"

func writeExplanation(w io.Writer, report *explain.Report) {
	_, _ = fmt.Fprintf(w, "request %s\ncause: %s\n", report.Request, report.Cause)
	for _, section := range []struct {
		title string
		lines []explain.Line
	}{{"lines about it", report.Lines}, {"what its hosts learned shortly before", report.StateChanges}} {
		_, _ = fmt.Fprintf(w, "\n%s:\n", section.title)
		for _, line := range section.lines {
			_, _ = fmt.Fprintf(w, "  %s %s %s %s\n", line.Time.Format(timeOfDayLayout), line.Host, line.Event, remainingFields(line))
		}
	}
}

// remainingFields renders the fields of line that writeExplanation doesn't print
// in a column of their own, as JSON.
func remainingFields(line explain.Line) string {
	remaining := map[string]any{}
	for name, value := range line.Fields {
		switch name {
		case "event", "host", "time", "level", "request":
		default:
			remaining[name] = value
		}
	}
	text, err := json.Marshal(remaining)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
