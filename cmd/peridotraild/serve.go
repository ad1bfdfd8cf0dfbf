package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-kit/log/level"
	"github.com/urfave/cli/v3"

	"peridotrail/internal/configuration"
	"peridotrail/internal/daemon"
	"peridotrail/internal/fleet/keys"
	"peridotrail/internal/invariant"
	"peridotrail/internal/kvstore/httpstore"
	"peridotrail/internal/observe"
	"peridotrail/internal/settings"
	"peridotrail/platform"
)

const certificateReloadInterval = 30 * time.Second

func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name:     "settings",
		Usage:    "settings file in JSON with comments",
		Sources:  cli.EnvVars("PERIDOTRAIL_SETTINGS"),
		Required: true,
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run the host until SIGTERM or SIGINT, then shut down gracefully",
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return serve(ctx, s)
		},
	}
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and exit",
		ArgsUsage: "[FILE]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`, if it is not an argument", Sources: cli.EnvVars("PERIDOTRAIL_SETTINGS")},
			&cli.BoolFlag{Name: "platform", Usage: "the file has the platform's format"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			path := c.Args().First()
			if path == "" {
				path = c.String("settings")
			}
			if err := checkFile(path, c.Bool("platform")); err != nil {
				return err
			}
			fmt.Println("settings are valid")
			return nil
		},
	}
}

// checkFile loads a settings file as a host does at its start and at a reload.
func checkFile(path string, platformFormat bool) error {
	var err error
	if platformFormat {
		_, _, err = platform.LoadSettings(path)
	} else {
		_, err = settings.Load(path)
	}
	return err
}

// serve runs one host until ctx ends or one of its tasks fails.
func serve(ctx context.Context, s settings.Settings) error {
	logger := observe.NewLogger(os.Stderr, s.Log.Level)
	tls := s.Fleet.TLS
	files, err := keys.Load(keys.Paths{Certificate: tls.Certificate, Key: tls.Key, Authorities: tls.CA})
	if err != nil {
		return err
	}
	registry := observe.NewRegistry()
	invariant.SetHandler(observe.ViolationHandler(logger, registry))
	h, err := daemon.Start(daemon.Options{
		Settings: s,
		Store:    httpstore.New(s.Platform.Endpoints, httpstore.WithCaller(s.Host.ID, s.Host.FailureDomain)),
		Keys:     files,
		Logger:   logger,
		Metrics:  registry,
	})
	if err != nil {
		return err
	}
	go files.Watch(ctx, certificateReloadInterval, func(err error) {
		_ = level.Error(logger).Log("event", "certificates not reloaded", "err", err) // logs are best effort
	})
	select {
	case <-ctx.Done():
	case <-h.Failed():
		h.Kill()
		return h.Wait()
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.Shutdown.Grace.Std())
	defer cancel()
	return h.Shutdown(shutdownCtx)
}

// exitCode returns the exit code of the process for an error.
func exitCode(err error) int {
	var invalid *configuration.InvalidError
	var invalidPlatform *platform.SettingsError
	if errors.As(err, &invalid) || errors.As(err, &invalidPlatform) {
		return exitInvalidSettings
	}
	return exitFailure
}
