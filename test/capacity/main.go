// Command capacity measures the cost of the control plane at several fleet sizes,
// fits a line to each cost and extrapolates it to the design size.
//
// With --check it compares the lines with those on a page, such as docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure the cost of the control plane and extrapolate it to the design size",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "settle", Value: 15 * time.Second, Usage: "time to wait before the measurement of each size"},
			&cli.DurationFlag{Name: "length", Value: 8 * time.Second, Usage: "duration of the measurement of each size"},
			&cli.StringFlag{Name: "check", Usage: "compare with the figures on this `PAGE` and fail if one differs by more than 30%"},
			&cli.BoolFlag{Name: "tables-only", Usage: "measure only client blocks and look-ups"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	var figures []Figure
	if !c.Bool("tables-only") {
		samples, err := measureFleets(ctx, c.Duration("settle"), c.Duration("length"))
		if err != nil {
			return err
		}
		figures = append(figures, fleetFigures(samples)...)
	}
	tables, err := measureClientBlocks()
	if err != nil {
		return err
	}
	figures = append(figures, tables...)
	printFigures(os.Stdout, figures)
	if page := c.String("check"); page != "" {
		return checkPage(page, figures)
	}
	return nil
}
