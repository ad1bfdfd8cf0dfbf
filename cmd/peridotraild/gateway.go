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

// gcPercent lets the heap grow to twice the live data, which is small.
const gcPercent = 100

// softMemoryLimitFraction is the fraction of the memory limit near which the garbage
// collector runs more often.
const softMemoryLimitFraction = 0.8

// logFlushTimeout is how long the process waits at its end until the buffered log
// lines are written.
const logFlushTimeout = 200 * time.Millisecond

func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run the host on the users' platform until SIGTERM, then shut down gracefully",
		Flags: []cli.Flag{&cli.StringFlag{
			Name:     "settings",
			Usage:    "the platform's settings file",
			Sources:  cli.EnvVars(platform.SettingsEnvVar),
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

// runGateway runs the host until ctx ends and reloads the settings file when it
// changes.
func runGateway(ctx context.Context, path, logLevel string, metricsPort uint16) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP) // first, because SIGHUP ends a process without a handler
	defer signal.Stop(hangup)
	settings, store, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * softMemoryLimitFraction))
	}
	settings.MetricsPort = metricsPort
	registry := observe.NewRegistry()
	logWriter := observe.NewBoundedWriter(os.Stdout, registry)
	defer logWriter.Close(logFlushTimeout)
	logger := log.With(observe.NewLogger(logWriter, logLevel), "host", settings.Host)
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
	go reloadSettings(ctx, path, hangup, logger, g)
	return g.Run(ctx)
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// reloadSettings reloads the settings file after a SIGHUP or a change of its content,
// until ctx ends. If the file is invalid the current settings stay in force.
func reloadSettings(ctx context.Context, path string, hangup <-chan os.Signal, logger log.Logger, g *gateway.Gateway) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastContent, _ := os.ReadFile(path) // if the file is unreadable, the next readable content is a change
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
		if err == nil && !signalled && bytes.Equal(content, lastContent) {
			continue
		}
		lastContent = content
		settings, _, err := platform.LoadSettings(path)
		if err != nil {
			_ = level.Error(logger).Log("event", "settings not reloaded", "err", err)
			continue
		}
		g.Reload(settings)
	}
}
