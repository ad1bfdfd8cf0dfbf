package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"peridotrail/internal/configuration"
	"peridotrail/internal/host"
	"peridotrail/internal/kvstore"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitInvalid     = 3
	exitConflict    = 4
	exitStore       = 5
	exitUnknown     = 6
	exitUnconfirmed = 7
	exitHost        = 8
	exitDifferent   = 9
)

const exitCodesHelp = `Exit codes:
0  done
1  any other failure
2  wrong command line
3  the configuration is refused; nothing has changed
4  another operator was first; nothing has changed
5  the store cannot be reached; nothing has changed
6  the store did not answer in time; the change may have taken effect, and
   applying the same folder again is safe
7  the change is in the store but not every live host has confirmed it in time
8  no host answered
9  diff --exit-code found differences`

// UsageError is a wrong command line.
type UsageError struct {
	Command string
	Wanted  []string
	Given   int
	Detail  string
	Err     error
}

// Error implements error.
func (e *UsageError) Error() string {
	switch {
	case e.Err != nil:
		return e.Err.Error()
	case e.Detail != "":
		return e.Detail
	default:
		return fmt.Sprintf("%s needs %d argument(s), %s, but got %d", e.Command, len(e.Wanted), strings.Join(e.Wanted, " "), e.Given)
	}
}

// Unwrap returns the underlying failure.
func (e *UsageError) Unwrap() error { return e.Err }

// FileError is a file of the folder that cannot be read or written.
type FileError struct {
	Path   string
	Detail string // may be empty
	Err    error  // may be nil
}

// Error implements error.
func (e *FileError) Error() string {
	if e.Err == nil {
		return e.Path + ": " + e.Detail
	}
	return strings.TrimSuffix(e.Path+": "+e.Detail, ": ") + ": " + e.Err.Error()
}

// Unwrap returns the underlying failure.
func (e *FileError) Unwrap() error { return e.Err }

// UnconfirmedError reports that not every live host has confirmed a revision.
type UnconfirmedError struct {
	Revision configuration.Revision `json:"revision"`
	Waited   time.Duration          `json:"-"`
	Domains  []PendingDomain        `json:"domains"`
}

// PendingDomain is a failure domain that has not confirmed a revision.
type PendingDomain struct {
	FailureDomain string                 `json:"failureDomain"`
	Confirmed     configuration.Revision `json:"confirmed"` // zero: nothing
	Hosts         []host.ID              `json:"hosts"`     // that have not confirmed, as far as known
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	lines := []string{fmt.Sprintf("revision %d is in the store, but after %v not every live host has confirmed it", e.Revision, e.Waited.Round(time.Millisecond))}
	for _, domain := range e.Domains {
		lines = append(lines, fmt.Sprintf("  failure domain %s has confirmed revision %d; waiting for hosts: %s",
			domain.FailureDomain, domain.Confirmed, joinHosts(domain.Hosts)))
	}
	return strings.Join(lines, "\n")
}

func joinHosts(hosts []host.ID) string {
	if len(hosts) == 0 {
		return "not known (the leader has not written to the store)"
	}
	names := make([]string, len(hosts))
	for i, id := range hosts {
		names[i] = string(id)
	}
	return strings.Join(names, ", ")
}

// HostError reports that no entry host gave a usable answer.
type HostError struct {
	URL    string
	Status int // zero: no answer
	Detail string
	Err    error
}

// Error implements error.
func (e *HostError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s answered %d %s: %s", e.URL, e.Status, http.StatusText(e.Status), e.Detail)
	}
	return fmt.Sprintf("%s did not answer: %v", e.URL, e.Err)
}

// Unwrap returns the underlying failure.
func (e *HostError) Unwrap() error { return e.Err }

// DifferentError reports that diff --exit-code found differences.
type DifferentError struct {
	Changes int
}

// Error implements error.
func (e *DifferentError) Error() string {
	return fmt.Sprintf("%d entries differ from the store", e.Changes)
}

// failureKind names a kind of failure with its exit code.
type failureKind struct {
	name string
	code int
}

func kindOf(err error) failureKind {
	var (
		usage       *UsageError
		invalid     *configuration.InvalidError
		conflict    *configuration.ConflictError
		outcome     *configuration.OutcomeError
		unconfirmed *UnconfirmedError
		store       *kvstore.Error
		hostFailure *HostError
		different   *DifferentError
	)
	switch {
	case errors.As(err, &usage):
		return failureKind{"usage", exitUsage}
	case errors.As(err, &invalid):
		return failureKind{"invalid", exitInvalid}
	case errors.As(err, &conflict):
		return failureKind{"conflict", exitConflict}
	case errors.As(err, &outcome):
		return failureKind{"outcome-unknown", exitUnknown}
	case errors.As(err, &unconfirmed):
		return failureKind{"unconfirmed", exitUnconfirmed}
	case errors.As(err, &hostFailure):
		return failureKind{"host", exitHost}
	case errors.As(err, &different):
		return failureKind{"different", exitDifferent}
	case errors.As(err, &store), errors.Is(err, context.DeadlineExceeded):
		return failureKind{"store", exitStore}
	default:
		return failureKind{"failure", exitFailure}
	}
}

func exitCode(err error) int { return kindOf(err).code }

// errorOutput is the JSON form of a failure.
type errorOutput struct {
	Kind        string                    `json:"kind"`
	ExitCode    int                       `json:"exitCode"`
	Detail      string                    `json:"detail"`
	Issues      []configuration.Issue     `json:"issues,omitempty"`
	Difference  *configuration.Difference `json:"difference,omitempty"`
	Base        configuration.Revision    `json:"base,omitempty"`
	Current     configuration.Revision    `json:"current,omitempty"`
	Unconfirmed *UnconfirmedError         `json:"unconfirmed,omitempty"`
}

func (a *App) printError(err error, output format) {
	kind := kindOf(err)
	if output != formatJSON {
		a.printErrorText(err)
		return
	}
	answer := errorOutput{Kind: kind.name, ExitCode: kind.code, Detail: err.Error()}
	var invalid *configuration.InvalidError
	if errors.As(err, &invalid) {
		answer.Issues = invalid.Issues
	}
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		answer.Difference, answer.Base, answer.Current = &conflict.Difference, conflict.Base, conflict.Current
	}
	errors.As(err, &answer.Unconfirmed)
	_ = json.NewEncoder(a.Stderr).Encode(answer)
}

func (a *App) printErrorText(err error) {
	_, _ = fmt.Fprintf(a.Stderr, "peridotrailctl: %v\n", err)
	var conflict *configuration.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	_, _ = fmt.Fprintf(a.Stderr, "Difference from the stored configuration to this folder:\n%s\n", conflict.Difference)
	_, _ = fmt.Fprintln(a.Stderr, "Bring the other operator's change into the folder, then run: peridotrailctl diff --seen DIR")
}
