package configuration

import (
	"fmt"
	"strings"
)

// Code classifies an issue of a configuration.
type Code string

// Codes of issues. They are part of the operators' interface.
const (
	CodeSyntax       Code = "syntax"        // the file is not JSON with comments
	CodeUnreadable   Code = "unreadable"    // the file cannot be read
	CodeUnknownField Code = "unknown-field" // the field does not exist
	CodeType         Code = "type"          // the value has the wrong type
	CodeMissing      Code = "missing"       // a required value is absent
	CodeDuplicate    Code = "duplicate"     // the same name, key or prefix occurs twice
	CodeDangling     Code = "dangling"      // the named object does not exist
	CodeTooLong      Code = "too-long"      // the value exceeds its length limit
	CodeRange        Code = "range"         // the number or duration is out of range
	CodeFormat       Code = "format"        // the text does not have the required form
	CodeCapacity     Code = "capacity"      // a cap or share exceeds the amount that it is taken from
)

// Issue is one reason why a configuration is rejected.
type Issue struct {
	File   string `json:"file,omitempty"` // empty if the configuration was not read from files
	Line   int    `json:"line,omitempty"` // one-based; zero if unknown
	Field  string `json:"field,omitempty"`
	Code   Code   `json:"code"`
	Detail string `json:"detail"`
}

// String formats the issue as "file:line: field: detail (code)".
func (i Issue) String() string {
	var b strings.Builder
	if i.File != "" {
		fmt.Fprintf(&b, "%s:%d: ", i.File, i.Line)
	}
	if i.Field != "" {
		fmt.Fprintf(&b, "%s: ", i.Field)
	}
	fmt.Fprintf(&b, "%s (%s)", i.Detail, i.Code)
	return b.String()
}

// InvalidError reports all issues that were found in a configuration.
type InvalidError struct {
	Issues []Issue
}

// Error implements error. It lists each issue on a separate line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Issues)+1)
	lines = append(lines, fmt.Sprintf("configuration has %d issue(s)", len(e.Issues)))
	for _, issue := range e.Issues {
		lines = append(lines, issue.String())
	}
	return strings.Join(lines, "\n")
}

// newInvalidError returns an *InvalidError, or nil if there are no issues. Of
// several issues of one field only the first is kept, because the others usually
// follow from it.
func newInvalidError(issues []Issue) error {
	type location struct {
		file  string
		field string
	}
	seen := make(map[location]bool, len(issues))
	kept := make([]Issue, 0, len(issues))
	for _, issue := range issues {
		issueLocation := location{file: issue.File, field: issue.Field}
		if issue.Field != "" && seen[issueLocation] {
			continue
		}
		seen[issueLocation] = true
		kept = append(kept, issue)
	}
	if len(kept) == 0 {
		return nil
	}
	return &InvalidError{Issues: kept}
}
