package main

import (
	"context"
	"os"
	"runtime/debug"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/gateway"
	"peridotrail/internal/observe"
	"peridotrail/platform"
)

// collectorPercent lets the heap grow to twice the live data; a host holds little.
const collectorPercent = 100

// memoryPart is the part of the memory limit at which the collector works harder.
const memoryPart = 0.8

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the host on the users' platform until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{&cli.StringFlag{
			Name:     "settings",
			Usage:    "the platform's settings file",
			Sources:  cli.EnvVars(platform.SettingsVariable),
			Required: true,
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, store, err := platform.LoadSettings(c.String("settings"))
			if err != nil {
				return err
			}
			debug.SetGCPercent(collectorPercent)
			if settings.MemoryLimit > 0 {
				debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryPart))
			}
			return gateway.New(gateway.Options{
				Settings: settings,
				Store:    platform.NewStore(store),
				Schema:   platform.Schema{},
				Dialect:  platform.Dialect{},
				Logger:   observe.NewLogger(os.Stdout, "info"),
				Metrics:  observe.NewRegistry(),
			}).Run(ctx)
		},
	}
}
