// Command peridotraild runs one entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// Exit codes.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "peridotraild:", err)
		os.Exit(exitCode(err))
	}
}

func newCommand() *cli.Command {
	return &cli.Command{
		Name:  "peridotraild",
		Usage: "run one entry host",
		Description: "Exit codes: 0 after a graceful shutdown, 1 when the host failed,\n" +
			"2 when the settings are invalid.",
		Commands: []*cli.Command{serveCommand(), gatewayCommand(), checkCommand(), quickstartCommand()},
	}
}
