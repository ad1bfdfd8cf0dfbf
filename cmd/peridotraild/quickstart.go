package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/observe"
	"peridotrail/internal/quickstart"
)

func quickstartCommand() *cli.Command {
	return &cli.Command{
		Name:  "quickstart",
		Usage: "run a fake store, fake upstreams and three hosts on loopback",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Value: "examples/quickstart", Usage: "configuration folder"},
			&cli.Uint16Flag{Name: "base-port", Value: 7100, Usage: "first port of the store and the hosts"},
			&cli.StringFlag{Name: "log", Value: "warn", Usage: "lowest level of the log lines on standard error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return quickstart.Run(ctx, quickstart.Options{
				Out:      os.Stdout,
				Folder:   c.String("folder"),
				BasePort: c.Uint16("base-port"),
				Logger:   observe.NewLogger(os.Stderr, c.String("log")),
			})
		},
	}
}
