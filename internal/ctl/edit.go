package ctl

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"peridotrail/internal/configuration"
)

// edit changes one managed file and applies the folder. If the change surely has
// not taken effect, the file is put back as it was.
func (a *App) edit(ctx context.Context, c *cli.Command, dir folder, file managedFile, change func(data []byte) ([]byte, error)) (applyOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	before, err := dir.read(file.name)
	if err != nil {
		return applyOutput{}, err
	}
	after, err := change(before)
	if err != nil {
		return applyOutput{}, err
	}
	if err := dir.write(file.name, after); err != nil {
		return applyOutput{}, err
	}
	answer, err := a.applyFolder(ctx, c, dir)
	if err == nil || answer.Revision != 0 || mayHaveTakenEffect(err) {
		return answer, err
	}
	if restoreErr := dir.restore(file.name, before); restoreErr != nil {
		return answer, errors.Join(err, restoreErr)
	}
	return answer, err
}

func mayHaveTakenEffect(err error) bool {
	var outcome *configuration.OutcomeError
	return errors.As(err, &outcome)
}

func (a *App) keyCommand() *cli.Command {
	return &cli.Command{
		Name:   "key",
		Usage:  "grant and withdraw keys of client accounts",
		Action: a.needSubcommand,
		Commands: []*cli.Command{
			{
				Name:        "grant",
				Usage:       "create a key, print it once and apply the folder with its digest",
				ArgsUsage:   "DIR ACCOUNT ID",
				Description: "Writes the digest of the key to " + grantedKeysFile.name + ". The key itself is stored nowhere.",
				Flags:       applyFlags(),
				Action:      a.grantKey,
			},
			{
				Name:        "withdraw",
				Usage:       "withdraw a key and apply the folder",
				ArgsUsage:   "DIR ACCOUNT ID",
				Description: "Writes an entry to " + withdrawnKeysFile.name + ", which overrides the grant in any file.",
				Flags:       applyFlags(),
				Action:      a.withdrawKey,
			},
		},
	}
}

// keyOutput is the answer of key grant.
type keyOutput struct {
	Account string `json:"account"`
	ID      string `json:"id"`
	Key     string `json:"key"`
	applyOutput
}

func (a *App) grantKey(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "DIR", "ACCOUNT", "ID")
	if err != nil {
		return err
	}
	key := newKey()
	digest := sha256.Sum256([]byte(key))
	entry := configuration.GrantedKey{Account: args[1], ID: args[2], Digest: hex.EncodeToString(digest[:])}
	answer, err := a.edit(ctx, c, folder{args[0]}, grantedKeysFile, func(data []byte) ([]byte, error) {
		return grantedKeysFile.add(data, entry)
	})
	// The key is printed also when the grant may have taken effect or is not
	// confirmed yet: nothing can show it again.
	if err != nil && answer.Revision == 0 && !mayHaveTakenEffect(err) {
		return err
	}
	output := keyOutput{Account: entry.Account, ID: entry.ID, Key: key, applyOutput: answer}
	printErr := a.print(outputOf(c), output, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "key %s of client account %s, shown only now:\n%s\n", entry.ID, entry.Account, key)
		if err == nil {
			answer.table(w)
		}
	})
	if err != nil {
		return err
	}
	return printErr
}

// newKey returns a random key of more than 256 bits.
func newKey() string { return rand.Text() + rand.Text() }

func (a *App) withdrawKey(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "DIR", "ACCOUNT", "ID")
	if err != nil {
		return err
	}
	entry := configuration.WithdrawnKey{Account: args[1], Key: args[2]}
	return a.editAndPrint(ctx, c, folder{args[0]}, withdrawnKeysFile, func(data []byte) ([]byte, error) {
		return withdrawnKeysFile.add(data, entry)
	})
}

func (a *App) editAndPrint(ctx context.Context, c *cli.Command, dir folder, file managedFile, change func(data []byte) ([]byte, error)) error {
	answer, err := a.edit(ctx, c, dir, file, change)
	if err != nil {
		return err
	}
	return a.print(outputOf(c), answer, answer.table)
}

// end returns the action of a command that removes an entry.
func (a *App) end(file managedFile) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		args, err := arguments(c, "DIR", "NAME")
		if err != nil {
			return err
		}
		return a.editAndPrint(ctx, c, folder{args[0]}, file, func(data []byte) ([]byte, error) {
			return file.remove(data, args[1])
		})
	}
}

func (a *App) drainCommand() *cli.Command {
	return &cli.Command{
		Name:   "drain",
		Usage:  "start and end planned stops",
		Action: a.needSubcommand,
		Commands: []*cli.Command{
			{
				Name:        "start",
				Usage:       "give no new work to an upstream, host, failure domain or region",
				ArgsUsage:   "DIR NAME",
				Description: "Writes an entry to " + drainsFile.name + ".",
				Flags: append(applyFlags(),
					&cli.StringFlag{Name: flagKind, Required: true, Usage: "upstream, host, failure-domain or region"},
					&cli.StringFlag{Name: flagTarget, Required: true, Usage: "`NAME` of what is drained"},
					&cli.TimestampFlag{Name: flagAt, Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}, Usage: "`TIME` of the start, such as 2026-12-03T21:00:00Z; at once if absent"},
				),
				Action: a.startDrain,
			},
			{
				Name:      "end",
				Usage:     "remove a drain that was started with this command",
				ArgsUsage: "DIR NAME",
				Flags:     applyFlags(),
				Action:    a.end(drainsFile),
			},
		},
	}
}

func (a *App) startDrain(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "DIR", "NAME")
	if err != nil {
		return err
	}
	entry := configuration.Drain{
		Name:   args[1],
		Kind:   configuration.DrainKind(c.String(flagKind)),
		Target: c.String(flagTarget),
		Start:  c.Timestamp(flagAt),
	}
	return a.editAndPrint(ctx, c, folder{args[0]}, drainsFile, func(data []byte) ([]byte, error) {
		return drainsFile.add(data, entry)
	})
}

func (a *App) shiftCommand() *cli.Command {
	return &cli.Command{
		Name:   "shift",
		Usage:  "move callers between failure domains in bounded steps",
		Action: a.needSubcommand,
		Commands: []*cli.Command{
			{
				Name:        "start",
				Usage:       "begin to move a share of one failure domain's callers",
				ArgsUsage:   "DIR NAME",
				Description: "Writes an entry to " + shiftsFile.name + ".",
				Flags: append(applyFlags(),
					&cli.StringFlag{Name: flagFrom, Required: true, Usage: "failure `DOMAIN` that callers leave"},
					&cli.StringFlag{Name: flagTo, Required: true, Usage: "failure `DOMAIN` that they go to"},
					&cli.FloatFlag{Name: flagShare, Required: true, Usage: "`SHARE` of the callers to move, up to 1"},
					&cli.FloatFlag{Name: flagCap, Required: true, Usage: "largest `SHARE` moved in one interval, summed over all hosts"},
					&cli.DurationFlag{Name: flagInterval, Required: true, Usage: "time between steps, such as 1m"},
				),
				Action: a.startShift,
			},
			{
				Name:      "end",
				Usage:     "remove a shift that was started with this command",
				ArgsUsage: "DIR NAME",
				Flags:     applyFlags(),
				Action:    a.end(shiftsFile),
			},
		},
	}
}

func (a *App) startShift(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "DIR", "NAME")
	if err != nil {
		return err
	}
	entry := configuration.Shift{
		Name:     args[1],
		From:     c.String(flagFrom),
		To:       c.String(flagTo),
		Share:    c.Float(flagShare),
		Cap:      c.Float(flagCap),
		Interval: configuration.Duration(c.Duration(flagInterval)),
	}
	return a.editAndPrint(ctx, c, folder{args[0]}, shiftsFile, func(data []byte) ([]byte, error) {
		return shiftsFile.add(data, entry)
	})
}
