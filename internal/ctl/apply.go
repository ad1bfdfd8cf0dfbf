package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"peridotrail/internal/configuration"
	"peridotrail/internal/kvstore"
)

func (a *App) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "validate a folder without touching the store",
		ArgsUsage: "DIR",
		Action:    a.check,
	}
}

// checkOutput is the output of check.
type checkOutput struct {
	Digest         configuration.Digest `json:"digest"`
	ClientAccounts int                  `json:"clientAccounts"`
	Services       int                  `json:"services"`
	Upstreams      int                  `json:"upstreams"`
	ClientBlocks   int                  `json:"clientBlocks"`
}

func (a *App) check(_ context.Context, c *cli.Command) error {
	args, err := arguments(c, "DIR")
	if err != nil {
		return err
	}
	loaded, err := folder{args[0]}.load()
	if err != nil {
		return err
	}
	result := checkOutput{
		Digest:         configuration.DigestOf(loaded),
		ClientAccounts: len(loaded.ClientAccounts),
		Services:       len(loaded.Services),
		Upstreams:      len(loaded.Upstreams),
		ClientBlocks:   len(loaded.ClientBlocks),
	}
	return a.print(selectedFormat(c), result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "valid: %d client accounts, %d services, %d upstreams, %d client blocks; digest %s\n",
			result.ClientAccounts, result.Services, result.Upstreams, result.ClientBlocks, result.Digest)
	})
}

func (a *App) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what applying a folder would change",
		ArgsUsage: "DIR",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagSeen, Usage: "record the stored revision as seen, so that the next apply can replace it"},
			&cli.BoolFlag{Name: flagExitCode, Usage: "exit with code 9 if there are differences"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time limit of the whole command"},
		},
		Action: a.diff,
	}
}

// diffOutput is the output of diff.
type diffOutput struct {
	Revision configuration.Revision `json:"revision"` // in the store; 0 if there is none
	Base     configuration.Revision `json:"base"`     // last seen by the operator; 0 if none
	configuration.Difference
}

func (a *App) diff(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "DIR")
	if err != nil {
		return err
	}
	dir := folder{args[0]}
	loaded, err := dir.load()
	if err != nil {
		return err
	}
	store, err := a.store(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	stored, err := configuration.NewRepository(repositoryConfig(store)).LoadReusing(ctx, loaded)
	if err != nil {
		return err
	}
	seen, err := dir.readBase()
	if err != nil {
		return err
	}
	result := diffOutput{Base: seen.Revision}
	if stored == nil {
		result.Difference = configuration.Compare(nil, loaded)
	} else {
		result.Revision = stored.Revision
		result.Difference = configuration.Compare(stored.Configuration, loaded)
	}
	if c.Bool(flagSeen) {
		if err := dir.writeBase(baseOf(stored)); err != nil {
			return err
		}
		result.Base = result.Revision
	}
	if err := a.print(selectedFormat(c), result, result.writeTable); err != nil {
		return err
	}
	if c.Bool(flagExitCode) && !result.Empty() {
		return &DifferencesError{Changes: len(result.Changes)}
	}
	return nil
}

func baseOf(stored *configuration.Snapshot) baseRecord {
	if stored == nil {
		return baseRecord{}
	}
	return baseRecord{Revision: stored.Revision, Digest: stored.Digest}
}

func (d diffOutput) writeTable(w io.Writer) {
	_, _ = fmt.Fprintf(w, "stored revision %d, seen revision %d, %d change(s)\n", d.Revision, d.Base, len(d.Changes))
	for _, change := range d.Changes {
		_, _ = fmt.Fprintln(w, change)
	}
}

func (a *App) applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "make a folder the configuration in force",
		ArgsUsage: "DIR",
		Flags: append(applyFlags(),
			&cli.Uint64Flag{Name: flagAbove, Usage: "make the new revision greater than `REVISION`; for a store that has lost revisions that are in force on hosts"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, "DIR")
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
			defer cancel()
			result, err := a.applyFolder(ctx, c, folder{args[0]})
			if err != nil {
				return err
			}
			return a.print(selectedFormat(c), result, result.writeTable)
		},
	}
}

// chunksPerSecond limits the chunk reads and writes of this tool. With this limit,
// the first apply of 2.3 million client blocks takes about 11 s.
const chunksPerSecond = 200

func repositoryConfig(store kvstore.Store) configuration.RepositoryConfig {
	return configuration.RepositoryConfig{Store: store, ChunksPerSecond: chunksPerSecond}
}

// applyOutput is the output of apply and of the commands that edit and apply a
// folder.
type applyOutput struct {
	Revision  configuration.Revision `json:"revision"`
	Digest    configuration.Digest   `json:"digest"`
	Changed   bool                   `json:"changed"`
	Confirmed bool                   `json:"confirmed"` // on every live host; false without --wait
	Seconds   float64                `json:"seconds"`   // until confirmed with --wait, else until stored
}

func (o applyOutput) writeTable(w io.Writer) {
	state := "stored"
	if o.Confirmed {
		state = "in force on every live host"
	}
	if !o.Changed {
		state += " (no change)"
	}
	_, _ = fmt.Fprintf(w, "revision %d %s after %.2f s\n", o.Revision, state, o.Seconds)
}

// applyFolder commits the folder as the successor of the revision that the
// operator has seen, and with --wait waits until all live hosts have confirmed it.
// Once the commit has succeeded, the Revision of the result is not zero, also if
// there is an error.
func (a *App) applyFolder(ctx context.Context, c *cli.Command, dir folder) (applyOutput, error) {
	start := a.Now()
	loaded, err := dir.load()
	if err != nil {
		return applyOutput{}, err
	}
	store, err := a.store(c)
	if err != nil {
		return applyOutput{}, err
	}
	seen, err := dir.readBase()
	if err != nil {
		return applyOutput{}, err
	}
	repository := configuration.NewRepository(repositoryConfig(store))
	floor := configuration.Revision(c.Uint64(flagAbove))
	revision, err := repository.CommitAbove(ctx, seen.Revision, floor, loaded)
	if err != nil {
		return applyOutput{}, err
	}
	result := applyOutput{Revision: revision, Digest: configuration.DigestOf(loaded), Changed: revision != seen.Revision}
	if err := dir.writeBase(baseRecord{Revision: revision, Digest: result.Digest}); err != nil {
		return result, err
	}
	if c.Bool(flagWait) {
		w := confirmationWaiter{store: store, pollInterval: a.PollInterval, now: a.Now}
		if err := w.wait(ctx, revision, loaded); err != nil {
			return result, err
		}
		result.Confirmed = true
	}
	result.Seconds = a.Now().Sub(start).Seconds()
	return result, nil
}
