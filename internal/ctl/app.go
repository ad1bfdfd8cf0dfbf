// Package ctl implements the command-line tool with which operators check and
// apply configurations and look at the fleet.
package ctl

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/kvstore"
)

// App holds what the commands depend on.
type App struct {
	Stdout    io.Writer
	Stderr    io.Writer
	OpenStore func(endpoints []string) kvstore.Store
	HTTP      *http.Client
	Now       func() time.Time
	Pause     time.Duration // between looks of commands that wait
}

// Names of flags.
const (
	flagStore    = "store"
	flagHost     = "host"
	flagOutput   = "output"
	flagWait     = "wait"
	flagTimeout  = "timeout"
	flagSeen     = "seen"
	flagAbove    = "above"
	flagExitCode = "exit-code"
	flagKind     = "kind"
	flagTarget   = "target"
	flagAt       = "at"
	flagFrom     = "from"
	flagTo       = "to"
	flagShare    = "share"
	flagCap      = "cap"
	flagInterval = "interval"
	flagClient   = "client"
	flagWatch    = "watch"
	flagHTML     = "html"
)

const defaultTimeout = 30 * time.Second

// Run executes the command line args, the program's name first, and returns the
// exit code.
func (a *App) Run(ctx context.Context, args []string) int {
	output := formatTable
	root := a.root(&output)
	reportUsage(root)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	a.printError(err, output)
	return exitCode(err)
}

// reportUsage makes a wrong command line of c or its subcommands a *UsageError.
func reportUsage(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Err: err}
	}
	for _, child := range c.Commands {
		reportUsage(child)
	}
}

func (a *App) root(output *format) *cli.Command {
	return &cli.Command{
		Name:        "peridotrailctl",
		Usage:       "check, apply and watch the configuration of a peridotrail fleet",
		Description: exitCodesHelp,
		Writer:      a.Stdout,
		ErrWriter:   a.Stderr,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagStore, Usage: "base `URL` of the platform's store; may be repeated", Sources: cli.EnvVars("PERIDOTRAIL_STORE")},
			&cli.StringSliceFlag{Name: flagHost, Usage: "base `URL` of an entry host; may be repeated, the first that answers is used", Sources: cli.EnvVars("PERIDOTRAIL_HOST")},
			&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: string(formatTable), Usage: "`FORMAT` of the output: table or json"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			parsed, err := parseFormat(c.String(flagOutput))
			*output = parsed
			return ctx, err
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         a.needSubcommand,
		Commands: []*cli.Command{
			a.checkCommand(), a.diffCommand(), a.applyCommand(),
			a.keyCommand(), a.drainCommand(), a.shiftCommand(),
			a.statusCommand(), a.lookupCommand(), a.reportCommand(), a.explainCommand(),
		},
	}
}

// needSubcommand shows the help of a command that only groups others.
func (a *App) needSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return &UsageError{Detail: "command " + c.Args().First() + " does not exist"}
	}
	return cli.ShowSubcommandHelp(c)
}

func applyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagWait, Usage: "wait until every live host has confirmed the revision"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "bound of the whole command"},
	}
}

// arguments returns exactly the named arguments of a command.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	given := c.Args().Slice()
	if len(given) != len(names) {
		return nil, &UsageError{Command: c.FullName(), Wanted: names, Given: len(given)}
	}
	return given, nil
}

// store opens the store that the flags name.
func (a *App) store(c *cli.Command) (kvstore.Store, error) {
	endpoints := c.StringSlice(flagStore)
	if len(endpoints) == 0 {
		return nil, &UsageError{Detail: "name the store with --store or PERIDOTRAIL_STORE"}
	}
	return a.OpenStore(endpoints), nil
}

func outputOf(c *cli.Command) format { return format(c.String(flagOutput)) }
