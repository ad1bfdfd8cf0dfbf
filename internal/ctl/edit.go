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

// editAndApply modifies one managed file and applies the folder. If the change has
// certainly not taken effect, it restores the file.
func (a *App) editAndApply(ctx context.Context, c *cli.Command, dir folder, file managedFile, modify func(data []byte) ([]byte, error)) (applyOutput, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Duration(flagTimeout))
	defer cancel()
	original, err := dir.readFile(file.name)
	if err != nil {
		return applyOutput{}, err
	}
	modified, err := modify(original)
	if err != nil {
		return applyOutput{}, err
	}
	if err := dir.writeFile(file.name, modified); err != nil {
		return applyOutput{}, err
	}
	result, err := a.applyFolder(ctx, c, dir)
	if err == nil || result.Revision != 0 || mayHaveTakenEffect(err) {
		return result, err
	}
	if restoreErr := dir.restoreFile(file.name, original); restoreErr != nil {
		return result, errors.Join(err, restoreErr)
	}
	return result, err
}

// mayHaveTakenEffect reports whether the commit may have succeeded despite err.
func mayHaveTakenEffect(err error) bool {
	var outcome *configuration.OutcomeError
	return errors.As(err, &outcome)
}

func (a *App) keyCommand() *cli.Command {
	return &cli.Command{
		Name:   "key",
		Usage:  "grant and withdraw keys of client accounts",
		Action: a.groupAction,
		Commands: []*cli.Command{
			{
				Name:        "grant",
				Usage:       "create a key, print it once and apply the folder with its digest",
				ArgsUsage:   "DIR ACCOUNT ID",
				Description: "Writes the digest of the key to " + grantedKeysFile.name + ". The key itself is not stored.",
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

// keyOutput is the output of key grant.
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
	result, err := a.editAndApply(ctx, c, folder{args[0]}, grantedKeysFile, func(data []byte) ([]byte, error) {
		return grantedKeysFile.appendEntry(data, entry)
	})
	// Print the key also if the grant may have taken effect or is not confirmed
	// yet, because the key is not stored and can't be shown later.
	if err != nil && result.Revision == 0 && !mayHaveTakenEffect(err) {
		return err
	}
	output := keyOutput{Account: entry.Account, ID: entry.ID, Key: key, applyOutput: result}
	printErr := a.print(selectedFormat(c), output, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "key %s of client account %s, not shown again:\n%s\n", entry.ID, entry.Account, key)
		if err == nil {
			result.writeTable(w)
		}
	})
	if err != nil {
		return err
	}
	return printErr
}

// newKey returns a random key with more than 256 bits of entropy.
func newKey() string { return rand.Text() + rand.Text() }

func (a *App) withdrawKey(ctx context.Context, c *cli.Command) error {
	args, err := arguments(c, "DIR", "ACCOUNT", "ID")
	if err != nil {
		return err
	}
	entry := configuration.WithdrawnKey{Account: args[1], Key: args[2]}
	return a.editAndPrint(ctx, c, folder{args[0]}, withdrawnKeysFile, func(data []byte) ([]byte, error) {
		return withdrawnKeysFile.appendEntry(data, entry)
	})
}

// editAndPrint calls editAndApply and prints its result.
func (a *App) editAndPrint(ctx context.Context, c *cli.Command, dir folder, file managedFile, modify func(data []byte) ([]byte, error)) error {
	result, err := a.editAndApply(ctx, c, dir, file, modify)
	if err != nil {
		return err
	}
	return a.print(selectedFormat(c), result, result.writeTable)
}

// removeEntryAction returns the action of a command that removes an entry of
// file by its name.
func (a *App) removeEntryAction(file managedFile) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		args, err := arguments(c, "DIR", "NAME")
		if err != nil {
			return err
		}
		return a.editAndPrint(ctx, c, folder{args[0]}, file, func(data []byte) ([]byte, error) {
			return file.removeEntry(data, args[1])
		})
	}
}

func (a *App) drainCommand() *cli.Command {
	return &cli.Command{
		Name:   "drain",
		Usage:  "start and end drains",
		Action: a.groupAction,
		Commands: []*cli.Command{
			{
				Name:        "start",
				Usage:       "give no new work to an upstream, host, failure domain or region",
				ArgsUsage:   "DIR NAME",
				Description: "Writes an entry to " + drainsFile.name + ".",
				Flags: append(applyFlags(),
					&cli.StringFlag{Name: flagKind, Required: true, Usage: "upstream, host, failure-domain or region"},
					&cli.StringFlag{Name: flagTarget, Required: true, Usage: "`NAME` of the upstream, host, failure domain or region"},
					&cli.TimestampFlag{Name: flagAt, Config: cli.TimestampConfig{Layouts: []string{time.RFC3339}}, Usage: "`TIME` of the start, such as 2026-12-03T21:00:00Z; immediately if absent"},
				),
				Action: a.startDrain,
			},
			{
				Name:      "end",
				Usage:     "remove a drain that was started with this command",
				ArgsUsage: "DIR NAME",
				Flags:     applyFlags(),
				Action:    a.removeEntryAction(drainsFile),
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
		return drainsFile.appendEntry(data, entry)
	})
}

func (a *App) shiftCommand() *cli.Command {
	return &cli.Command{
		Name:   "shift",
		Usage:  "move callers between failure domains in bounded steps",
		Action: a.groupAction,
		Commands: []*cli.Command{
			{
				Name:        "start",
				Usage:       "start moving a share of one failure domain's callers",
				ArgsUsage:   "DIR NAME",
				Description: "Writes an entry to " + shiftsFile.name + ".",
				Flags: append(applyFlags(),
					&cli.StringFlag{Name: flagFrom, Required: true, Usage: "failure `DOMAIN` to move callers from"},
					&cli.StringFlag{Name: flagTo, Required: true, Usage: "failure `DOMAIN` to move callers to"},
					&cli.FloatFlag{Name: flagShare, Required: true, Usage: "`SHARE` of the callers to move, up to 1"},
					&cli.FloatFlag{Name: flagCap, Required: true, Usage: "maximum `SHARE` moved in one interval, summed over all hosts"},
					&cli.DurationFlag{Name: flagInterval, Required: true, Usage: "time between steps, such as 1m"},
				),
				Action: a.startShift,
			},
			{
				Name:      "end",
				Usage:     "remove a shift that was started with this command",
				ArgsUsage: "DIR NAME",
				Flags:     applyFlags(),
				Action:    a.removeEntryAction(shiftsFile),
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
		return shiftsFile.appendEntry(data, entry)
	})
}
