// Package ctl implements peridotrailctl, the command-line tool with which
// operators check and apply configurations and query the state of the fleet.
package ctl

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/kvstore"
)

// App holds the dependencies of the commands.
type App struct {
	Stdout       io.Writer
	Stderr       io.Writer
	OpenStore    func(endpoints []string) kvstore.Store
	HTTP         *http.Client
	Now          func() time.Time
	PollInterval time.Duration // between polls of commands that wait or watch
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

// Run executes the command line args, which starts with the program's name, and
// returns the exit code. It prints an error to Stderr.
func (a *App) Run(ctx context.Context, args []string) int {
	output := outputTable
	root := a.rootCommand(&output)
	wrapUsageErrors(root)
	err := root.Run(ctx, args)
	if err == nil {
		return exitOK
	}
	a.printError(err, output)
	return exitCode(err)
}

// wrapUsageErrors makes c and its subcommands return a *UsageError for an invalid
// command line.
func wrapUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &UsageError{Err: err}
	}
	for _, child := range c.Commands {
		wrapUsageErrors(child)
	}
}

func (a *App) rootCommand(output *outputFormat) *cli.Command {
	return &cli.Command{
		Name:        "peridotrailctl",
		Usage:       "check, apply and watch the configuration of a peridotrail fleet",
		Description: exitCodesHelp,
		Writer:      a.Stdout,
		ErrWriter:   a.Stderr,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagStore, Usage: "base `URL` of the platform's store; may be repeated", Sources: cli.EnvVars("PERIDOTRAIL_STORE")},
			&cli.StringSliceFlag{Name: flagHost, Usage: "base `URL` of an entry host; may be repeated, the first that responds is used", Sources: cli.EnvVars("PERIDOTRAIL_HOST")},
			&cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: string(outputTable), Usage: "`FORMAT` of the output: table or json"},
		},
		Before: func(ctx context.Context, c *cli.Command) (context.Context, error) {
			parsed, err := parseOutputFormat(c.String(flagOutput))
			*output = parsed
			return ctx, err
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         a.groupAction,
		Commands: []*cli.Command{
			a.checkCommand(), a.diffCommand(), a.applyCommand(),
			a.keyCommand(), a.drainCommand(), a.shiftCommand(),
			a.statusCommand(), a.lookupCommand(), a.reportCommand(), a.explainCommand(),
		},
	}
}

// groupAction is the action of a command that only groups subcommands. It prints
// the help, or returns a *UsageError for an unknown subcommand.
func (a *App) groupAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return &UsageError{Detail: "command " + c.Args().First() + " does not exist"}
	}
	return cli.ShowSubcommandHelp(c)
}

func applyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.BoolFlag{Name: flagWait, Usage: "wait until every live host has confirmed the revision"},
		&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of the whole command"},
	}
}

// arguments returns the arguments of a command. It returns a *UsageError unless
// their number is that of names.
func arguments(c *cli.Command, names ...string) ([]string, error) {
	given := c.Args().Slice()
	if len(given) != len(names) {
		return nil, &UsageError{Command: c.FullName(), Wanted: names, Given: len(given)}
	}
	return given, nil
}

// store opens the store at the endpoints of --store. It returns a *UsageError if
// there are none.
func (a *App) store(c *cli.Command) (kvstore.Store, error) {
	endpoints := c.StringSlice(flagStore)
	if len(endpoints) == 0 {
		return nil, &UsageError{Detail: "no store given: use --store or PERIDOTRAIL_STORE"}
	}
	return a.OpenStore(endpoints), nil
}

func selectedFormat(c *cli.Command) outputFormat { return outputFormat(c.String(flagOutput)) }
