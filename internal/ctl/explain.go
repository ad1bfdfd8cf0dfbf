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
		Usage:     "tell from the logs of hosts what became of one request and why",
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
			return a.print(outputOf(c), report, func(w io.Writer) { printReport(w, report) })
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
		_ = file.Close() // it was only read
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

const clockLayout = "15:04:05.000"

func printReport(w io.Writer, report *explain.Report) {
	_, _ = fmt.Fprintf(w, "request %s\ncause: %s\n", report.Request, report.Cause)
	for _, part := range []struct {
		title string
		lines []explain.Line
	}{{"lines about it", report.Lines}, {"what its hosts learned shortly before", report.StateChanges}} {
		_, _ = fmt.Fprintf(w, "\n%s:\n", part.title)
		for _, line := range part.lines {
			_, _ = fmt.Fprintf(w, "  %s %s %s %s\n", line.Time.Format(clockLayout), line.Host, line.Event, detail(line))
		}
	}
}

// detail renders the fields that the columns before it don't show.
func detail(line explain.Line) string {
	rest := map[string]any{}
	for name, value := range line.Fields {
		switch name {
		case "event", "host", "time", "level", "request":
		default:
			rest[name] = value
		}
	}
	text, err := json.Marshal(rest)
	if err != nil {
		return err.Error()
	}
	return string(text)
}
