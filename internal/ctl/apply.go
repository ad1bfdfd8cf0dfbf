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

// checkOutput is the answer of check.
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
	answer := checkOutput{
		Digest:         configuration.DigestOf(loaded),
		ClientAccounts: len(loaded.ClientAccounts),
		Services:       len(loaded.Services),
		Upstreams:      len(loaded.Upstreams),
		ClientBlocks:   len(loaded.ClientBlocks),
	}
	return a.print(outputOf(c), answer, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "valid: %d client accounts, %d services, %d upstreams, %d client blocks; digest %s\n",
			answer.ClientAccounts, answer.Services, answer.Upstreams, answer.ClientBlocks, answer.Digest)
	})
}

func (a *App) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what applying a folder would change",
		ArgsUsage: "DIR",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagSeen, Usage: "record the stored revision as seen, so that the next apply may replace it"},
			&cli.BoolFlag{Name: flagExitCode, Usage: "exit with code 9 if there are differences"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "bound of the whole command"},
		},
		Action: a.diff,
	}
}

// diffOutput is the answer of diff.
type diffOutput struct {
	Revision configuration.Revision `json:"revision"` // stored
	Base     configuration.Revision `json:"base"`     // seen by the operator
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
	seen, err := dir.base()
	if err != nil {
		return err
	}
	answer := diffOutput{Base: seen.Revision}
	if stored == nil {
		answer.Difference = configuration.Compare(nil, loaded)
	} else {
		answer.Revision = stored.Revision
		answer.Difference = configuration.Compare(stored.Configuration, loaded)
	}
	if c.Bool(flagSeen) {
		if err := dir.setBase(baseOf(stored)); err != nil {
			return err
		}
		answer.Base = answer.Revision
	}
	if err := a.print(outputOf(c), answer, answer.table); err != nil {
		return err
	}
	if c.Bool(flagExitCode) && !answer.Empty() {
		return &DifferentError{Changes: len(answer.Changes)}
	}
	return nil
}

func baseOf(stored *configuration.Snapshot) base {
	if stored == nil {
		return base{}
	}
	return base{Revision: stored.Revision, Digest: stored.Digest}
}

func (d diffOutput) table(w io.Writer) {
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
			&cli.Uint64Flag{Name: flagAbove, Usage: "make the new revision greater than `REVISION`; for a store that has lost revisions which hosts have in force"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			args, err := arguments(c, "DIR")
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
			defer cancel()
			answer, err := a.applyFolder(ctx, c, folder{args[0]})
			if err != nil {
				return err
			}
			return a.print(outputOf(c), answer, answer.table)
		},
	}
}

// chunksPerSecond bounds the calls for chunks of this tool. Applying 2.3 million
// client blocks for the first time takes about 11 s.
const chunksPerSecond = 200

func repositoryConfig(store kvstore.Store) configuration.RepositoryConfig {
	return configuration.RepositoryConfig{Store: store, ChunksPerSecond: chunksPerSecond}
}

// applyOutput is the answer of apply and of commands that apply.
type applyOutput struct {
	Revision  configuration.Revision `json:"revision"`
	Digest    configuration.Digest   `json:"digest"`
	Changed   bool                   `json:"changed"`
	Confirmed bool                   `json:"confirmed"` // by every live host; false without --wait
	Seconds   float64                `json:"seconds"`   // until confirmed, or until stored without --wait
}

func (o applyOutput) table(w io.Writer) {
	state := "stored"
	if o.Confirmed {
		state = "in force on every live host"
	}
	if !o.Changed {
		state += " (no change)"
	}
	_, _ = fmt.Fprintf(w, "revision %d %s after %.2f s\n", o.Revision, state, o.Seconds)
}

// applyFolder commits the folder on top of the revision that the operator has
// seen, and waits for the confirmations if the flag says so.
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
	seen, err := dir.base()
	if err != nil {
		return applyOutput{}, err
	}
	repository := configuration.NewRepository(repositoryConfig(store))
	floor := configuration.Revision(c.Uint64(flagAbove))
	revision, err := repository.CommitAbove(ctx, seen.Revision, floor, loaded)
	if err != nil {
		return applyOutput{}, err
	}
	answer := applyOutput{Revision: revision, Digest: configuration.DigestOf(loaded), Changed: revision != seen.Revision}
	if err := dir.setBase(base{Revision: revision, Digest: answer.Digest}); err != nil {
		return answer, err
	}
	if c.Bool(flagWait) {
		w := waiter{store: store, pause: a.Pause, now: a.Now}
		if err := w.wait(ctx, revision, loaded); err != nil {
			return answer, err
		}
		answer.Confirmed = true
	}
	answer.Seconds = a.Now().Sub(start).Seconds()
	return answer, nil
}
