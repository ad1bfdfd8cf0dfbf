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
	exitOK             = 0
	exitFailure        = 1
	exitUsage          = 2
	exitInvalid        = 3
	exitConflict       = 4
	exitStore          = 5
	exitOutcomeUnknown = 6
	exitUnconfirmed    = 7
	exitHost           = 8
	exitDifferences    = 9
)

const exitCodesHelp = `Exit codes:
0  done
1  any other failure
2  invalid command line
3  the configuration is invalid; nothing has changed
4  another operator has changed the configuration; nothing has changed
5  the store cannot be reached; nothing has changed
6  the store did not respond in time; the change may have taken effect, and
   applying the same folder again is safe
7  the change is in the store but not every live host has confirmed it in time
8  no host responded
9  diff --exit-code found differences`

// UsageError reports an invalid command line. Its text is that of Err or Detail,
// whichever is set, else the number and names of the expected arguments.
type UsageError struct {
	Command string
	Wanted  []string // names of the arguments
	Given   int      // number of arguments
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

// FileError reports a file or folder that cannot be read, written or edited.
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

// UnconfirmedError reports that not every live host confirmed a revision before
// the timeout.
type UnconfirmedError struct {
	Revision configuration.Revision `json:"revision"`
	Waited   time.Duration          `json:"-"`
	Domains  []PendingDomain        `json:"domains"`
}

// PendingDomain is a failure domain that has not confirmed a revision.
type PendingDomain struct {
	FailureDomain string                 `json:"failureDomain"`
	Confirmed     configuration.Revision `json:"confirmed"` // 0: none
	Hosts         []host.ID              `json:"hosts"`     // that have not confirmed; empty if unknown
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

// joinHosts lists the hosts of a failure domain that have not confirmed a revision.
func joinHosts(hosts []host.ID) string {
	if len(hosts) == 0 {
		return "unknown (the domain leader has not yet written them to the store)"
	}
	names := make([]string, len(hosts))
	for i, id := range hosts {
		names[i] = string(id)
	}
	return strings.Join(names, ", ")
}

// HostError reports a request to an entry host without a usable response.
type HostError struct {
	URL    string
	Status int // HTTP status; 0: no response
	Detail string
	Err    error
}

// Error implements error.
func (e *HostError) Error() string {
	if e.Status != 0 {
		return fmt.Sprintf("%s responded with %d %s: %s", e.URL, e.Status, http.StatusText(e.Status), e.Detail)
	}
	return fmt.Sprintf("%s did not respond: %v", e.URL, e.Err)
}

// Unwrap returns the underlying failure.
func (e *HostError) Unwrap() error { return e.Err }

// DifferencesError reports that diff --exit-code found differences.
type DifferencesError struct {
	Changes int
}

// Error implements error.
func (e *DifferencesError) Error() string {
	return fmt.Sprintf("%d entries differ from the store", e.Changes)
}

// failureKind is a category of errors: its name in JSON output and its exit code.
type failureKind struct {
	name string
	code int
}

// classifyError returns the category of err. An expired deadline that no other
// category covers is a failure of the store.
func classifyError(err error) failureKind {
	var (
		usage       *UsageError
		invalid     *configuration.InvalidError
		conflict    *configuration.ConflictError
		outcome     *configuration.OutcomeError
		unconfirmed *UnconfirmedError
		store       *kvstore.Error
		hostFailure *HostError
		differences *DifferencesError
	)
	switch {
	case errors.As(err, &usage):
		return failureKind{"usage", exitUsage}
	case errors.As(err, &invalid):
		return failureKind{"invalid", exitInvalid}
	case errors.As(err, &conflict):
		return failureKind{"conflict", exitConflict}
	case errors.As(err, &outcome):
		return failureKind{"outcome-unknown", exitOutcomeUnknown}
	case errors.As(err, &unconfirmed):
		return failureKind{"unconfirmed", exitUnconfirmed}
	case errors.As(err, &hostFailure):
		return failureKind{"host", exitHost}
	case errors.As(err, &differences):
		return failureKind{"different", exitDifferences}
	case errors.As(err, &store), errors.Is(err, context.DeadlineExceeded):
		return failureKind{"store", exitStore}
	default:
		return failureKind{"failure", exitFailure}
	}
}

func exitCode(err error) int { return classifyError(err).code }

// errorOutput is the JSON form of an error.
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

func (a *App) printError(err error, output outputFormat) {
	kind := classifyError(err)
	if output != outputJSON {
		a.printErrorText(err)
		return
	}
	failure := errorOutput{Kind: kind.name, ExitCode: kind.code, Detail: err.Error()}
	var invalid *configuration.InvalidError
	if errors.As(err, &invalid) {
		failure.Issues = invalid.Issues
	}
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		failure.Difference, failure.Base, failure.Current = &conflict.Difference, conflict.Base, conflict.Current
	}
	errors.As(err, &failure.Unconfirmed)
	_ = json.NewEncoder(a.Stderr).Encode(failure)
}

func (a *App) printErrorText(err error) {
	_, _ = fmt.Fprintf(a.Stderr, "peridotrailctl: %v\n", err)
	var conflict *configuration.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	_, _ = fmt.Fprintf(a.Stderr, "Difference from the stored configuration to this folder:\n%s\n", conflict.Difference)
	_, _ = fmt.Fprintln(a.Stderr, "Merge the other operator's change into the folder, then run: peridotrailctl diff --seen DIR")
}
