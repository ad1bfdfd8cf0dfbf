package ctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/configuration"
	"peridotrail/internal/servicelevel"
)

func (a *App) reportCommand() *cli.Command {
	return &cli.Command{
		Name:   "report",
		Usage:  "report on the fleet",
		Action: a.groupAction,
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "show how fast the error budgets of the service-level objectives burn",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagHTML, Usage: "also write a self-contained HTML page to `FILE`"},
				&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of the whole command"},
			},
			Action: a.reportBurn,
		}},
	}
}

func (a *App) reportBurn(ctx context.Context, c *cli.Command) error {
	if _, err := arguments(c); err != nil {
		return err
	}
	store, err := a.store(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	stored, err := configuration.NewRepository(repositoryConfig(store)).Load(ctx)
	if err != nil {
		return err
	}
	current := &configuration.Configuration{}
	if stored != nil {
		current = stored.Configuration
	}
	report, err := servicelevel.ReadReport(ctx, store, current, a.Now())
	if err != nil {
		return err
	}
	if path := c.String(flagHTML); path != "" {
		if err := writeHTMLFile(path, report); err != nil {
			return err
		}
	}
	return a.print(selectedFormat(c), report, func(w io.Writer) { writeBurnTable(w, report) })
}

func writeHTMLFile(path string, report *servicelevel.Report) error {
	file, err := os.Create(path)
	if err != nil {
		return &FileError{Path: path, Err: err}
	}
	writeErr := report.WriteHTML(file)
	closeErr := file.Close()
	for _, err := range []error{writeErr, closeErr} {
		if err != nil {
			return &FileError{Path: path, Err: err}
		}
	}
	return nil
}

func writeBurnTable(w io.Writer, report *servicelevel.Report) {
	if len(report.Objectives) == 0 {
		_, _ = fmt.Fprintln(w, "the configuration has no objectives")
		return
	}
	rows := [][]any{{"OBJECTIVE", "ALERT", "BUDGET LEFT", "TARGET", "WINDOW", "BURN", "BAD", "REQUESTS"}}
	for _, objective := range report.Objectives {
		for i, window := range objective.Windows {
			row := []any{"", "", "", ""}
			if i == 0 {
				row = []any{objective.Name, objective.Alert, formatPercent(objective.BudgetLeft), fmt.Sprintf("%.6g%%", 100*objective.Target)}
			}
			rows = append(rows, append(row, window.Window, fmt.Sprintf("%.2f", window.Burn), window.Total-window.Good, window.Total))
		}
	}
	tabulate(w, rows...)
}
