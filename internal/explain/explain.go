// Package explain finds in the log lines of several hosts what became of one
// request and what its hosts believed then.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"
)

// Line is one log line.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields map[string]any
}

// Report is what the lines tell of a request.
type Report struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`   // about the request, in the order of time
	Beliefs []Line `json:"beliefs"` // of its hosts, shortly before
	Cause   string `json:"cause"`   // the deciding input
}

// NotFoundError reports that no line is about the request.
type NotFoundError struct{ Request string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no line is about request %q", e.Request) }

// beliefSpan is how long before the request a change of belief is shown.
const beliefSpan = 10 * time.Second

// longestLine bounds one line, in bytes.
const longestLine = 1 << 20

// Read returns the lines of one log. Text before the JSON object of a line is
// passed over, lines without one are left out.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		text := scanner.Bytes()
		begin := bytes.IndexByte(text, '{')
		if begin < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(text[begin:], &fields) != nil {
			continue // another program's line
		}
		lines = append(lines, newLine(fields))
	}
	return lines, scanner.Err()
}

func newLine(fields map[string]any) Line {
	line := Line{Fields: fields}
	line.Event, _ = fields["event"].(string)
	line.Host, _ = fields["host"].(string)
	if text, ok := fields["time"].(string); ok {
		line.Time, _ = time.Parse(time.RFC3339Nano, text) // zero sorts first
	}
	return line
}

// Request explains one request. It fails with a *NotFoundError.
func Request(id string, lines []Line) (*Report, error) {
	report := &Report{Request: id}
	hosts := map[string]bool{}
	upstreams := map[any]bool{}
	for _, line := range lines {
		if line.Fields["request"] == id {
			report.Lines = append(report.Lines, line)
			hosts[line.Host] = true
			upstreams[line.Fields["upstream"]] = true
		}
	}
	if len(report.Lines) == 0 {
		return nil, &NotFoundError{Request: id}
	}
	sortLines(report.Lines)
	end := report.Lines[len(report.Lines)-1].Time
	for _, line := range lines {
		if hosts[line.Host] && isBelief(line, upstreams) && !line.Time.After(end) && end.Sub(line.Time) <= beliefSpan {
			report.Beliefs = append(report.Beliefs, line)
		}
	}
	sortLines(report.Beliefs)
	report.Cause = cause(report)
	return report, nil
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// isBelief reports whether a line tells of a change that can touch the request.
func isBelief(line Line, upstreams map[any]bool) bool {
	switch line.Event {
	case "store lost", "store regained", "store history lost", "policy in force", "policy rejected",
		"evacuation", "started", "leaving", "settings reloaded", "entries absent after outage":
		return true
	case "upstream", "upstream gone", "upstream entry rejected":
		return upstreams[line.Fields["upstream"]]
	default:
		return false
	}
}

// cause names the input that decided the end of the request.
func cause(r *Report) string {
	last := r.Lines[len(r.Lines)-1]
	status := fmt.Sprint(last.Fields["status"])
	if last.Event == "request answered" {
		return answeredCause(last, status)
	}
	text := fmt.Sprintf("status %s: %v", status, last.Fields["detail"])
	for _, line := range r.Lines {
		if line.Event == "attempt failed" {
			text += fmt.Sprintf("; an attempt at upstream %v failed: %v", line.Fields["upstream"], line.Fields["err"])
		}
	}
	switch {
	case last.Fields["rate"] != nil:
		text += fmt.Sprintf(": of its %v requests a second this host has %v, %v tokens were left and %v were asked for a second",
			last.Fields["rate"], last.Fields["share"], last.Fields["tokens"], last.Fields["demand"])
	case last.Fields["wait_ms"] != nil:
		text += fmt.Sprintf("; upstream %v was asked last, %v ms until a slot and %v ms of work were expected", last.Fields["upstream"], last.Fields["wait_ms"], last.Fields["work_ms"])
		text += after(r, last)
	}
	return text
}

// after tells what the host learned of the asked upstream before the end.
func after(r *Report, last Line) string {
	for _, line := range r.Beliefs {
		if line.Event == "upstream gone" && line.Fields["upstream"] == last.Fields["upstream"] {
			return fmt.Sprintf("; the upstream's entry vanished %d ms before the end", last.Time.Sub(line.Time).Milliseconds())
		}
	}
	return ""
}

// answeredCause says what made an answer late or a failure.
func answeredCause(last Line, status string) string {
	text := fmt.Sprintf("status %s from upstream %v after %v ms", status, last.Fields["upstream"], last.Fields["took_ms"])
	wait, _ := last.Fields["wait_ms"].(float64)
	work, _ := last.Fields["work_ms"].(float64)
	warm, _ := last.Fields["warm"].(float64)
	took, _ := last.Fields["took_ms"].(float64)
	switch {
	case last.Fields["cold"] == true:
		return text + ": the upstream had just started"
	case wait > work:
		return text + fmt.Sprintf(": it waited for a slot, %.0f ms were expected", wait)
	case warm < 0.5:
		return text + fmt.Sprintf(": the upstream did not know the object, %.0f ms of work were expected", work)
	case took > 2*(wait+work):
		return text + fmt.Sprintf(": the upstream took longer than the %.0f ms that were expected", wait+work)
	default:
		return text + ": as expected"
	}
}
