package main

import (
	"bytes"
	"context"
	stdlog "log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"peridotrail/internal/gateway"
	"peridotrail/internal/invariant"
	"peridotrail/internal/observe"
	"peridotrail/platform"
)

// collectorPercent lets the heap grow to twice the live data; a host holds little.
const collectorPercent = 100

// memoryPart is the part of the memory limit at which the collector works harder.
const memoryPart = 0.8

// lastLinesWait is how long the end of the process waits for the last log lines.
const lastLinesWait = 200 * time.Millisecond

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the host on the users' platform until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{&cli.StringFlag{
			Name:     "settings",
			Usage:    "the platform's settings file",
			Sources:  cli.EnvVars(platform.SettingsVariable),
			Required: true,
		}, &cli.Uint16Flag{
			Name:  "metrics-port",
			Usage: "`PORT` of /metrics on the host's address; 0 serves none",
		}, &cli.StringFlag{
			Name:  "log-level",
			Value: "info",
			Usage: "lowest `LEVEL` of the lines that are written: debug, info, warn or error",
		}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runGateway(ctx, c.String("settings"), c.String("log-level"), c.Uint16("metrics-port"))
		},
	}
}

// runGateway serves until ctx ends and reloads the settings file when it changes.
func runGateway(ctx context.Context, path, logLevel string, metricsPort uint16) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // first, since the signal ends a process that does not expect it
	defer signal.Stop(hangup)
	settings, store, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(collectorPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * memoryPart))
	}
	settings.MetricsPort = metricsPort
	registry := observe.NewRegistry()
	lines := observe.NewBoundedWriter(os.Stdout, registry)
	defer lines.Close(lastLinesWait)
	logger := log.With(observe.NewLogger(lines, logLevel), "host", settings.Host)
	invariant.SetHandler(observe.ViolationHandler(logger, registry))
	stdlog.SetFlags(0)
	stdlog.SetOutput(log.NewStdlibAdapter(log.With(logger, "event", "net/http")))
	g := gateway.New(gateway.Options{
		Settings: settings,
		Store:    platform.NewStore(store),
		Schema:   platform.Schema{},
		Dialect:  platform.Dialect{},
		Logger:   logger,
		Metrics:  registry,
	})
	go reload(ctx, path, hangup, logger, g)
	return g.Run(ctx)
}

// filePollInterval is how often the settings file is looked at for a change that
// no signal tells of.
const filePollInterval = 2 * time.Second

// reload reads the settings file again after a signal or a change of its content,
// until ctx ends. A file that can't be used leaves the settings as they are.
func reload(ctx context.Context, path string, hangup <-chan os.Signal, logger log.Logger, g *gateway.Gateway) {
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	last, _ := os.ReadFile(path) // an unreadable file differs from the next readable one
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		content, err := os.ReadFile(path)
		if err == nil && !signalled && bytes.Equal(content, last) {
			continue
		}
		last = content
		settings, _, err := platform.LoadSettings(path)
		if err != nil {
			_ = level.Error(logger).Log("event", "settings not reloaded", "err", err)
			continue
		}
		g.Reload(settings)
	}
}
