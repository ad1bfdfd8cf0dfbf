// Package explain reconstructs from the log lines of several hosts how one request
// ended, why, and which changes of state its hosts had logged shortly before.
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

// Line is one structured log line.
type Line struct {
	Time   time.Time
	Host   string
	Event  string
	Fields map[string]any
}

// Report is the explanation of one request.
type Report struct {
	Request      string `json:"request"`
	Lines        []Line `json:"lines"`   // about the request, ordered by time
	StateChanges []Line `json:"beliefs"` // logged by its hosts within stateChangeWindow, ordered by time
	Cause        string `json:"cause"`   // what decided how the request ended
}

// NotFoundError reports that no log line mentions the request.
type NotFoundError struct{ Request string }

// Error implements error.
func (e *NotFoundError) Error() string { return fmt.Sprintf("no line is about request %q", e.Request) }

// stateChangeWindow is the time before the end of a request whose state changes are
// part of its report.
const stateChangeWindow = 10 * time.Second

// maxLineBytes limits the length of a line. Read fails at a longer one.
const maxLineBytes = 1 << 20

// Read parses one log. In each line it ignores the text before the JSON object; it
// skips lines without a valid JSON object.
func Read(r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(text[start:], &fields) != nil {
			continue // not a structured log line
		}
		lines = append(lines, parseLine(fields))
	}
	return lines, scanner.Err()
}

// parseLine returns the line with the given fields. A missing or malformed field
// becomes the zero value.
func parseLine(fields map[string]any) Line {
	line := Line{Fields: fields}
	line.Event, _ = fields["event"].(string)
	line.Host, _ = fields["host"].(string)
	if text, ok := fields["time"].(string); ok {
		line.Time, _ = time.Parse(time.RFC3339Nano, text) // the zero time sorts first
	}
	return line
}

// Request explains one request. It returns a *NotFoundError if no line mentions it.
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
		if hosts[line.Host] && isStateChange(line, upstreams) && !line.Time.After(end) && end.Sub(line.Time) <= stateChangeWindow {
			report.StateChanges = append(report.StateChanges, line)
		}
	}
	sortLines(report.StateChanges)
	report.Cause = cause(report)
	return report, nil
}

func sortLines(lines []Line) {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
}

// isStateChange reports whether a line describes a state change that can affect a
// request to one of the upstreams.
func isStateChange(line Line, upstreams map[any]bool) bool {
	switch line.Event {
	case "store lost", "store regained", "store history lost", "store era", "snapshot read", "policy in force", "policy rejected", "policy entry not applied", "policy ignored", "retention ended",
		"evacuation", "started", "leaving", "settings reloaded", "entries absent after outage",
		"substitute found", "substitute left", "no substitute", "following host", "host not followed", "held host",
		"links lost", "links restored":
		return true
	case "upstream", "upstream gone", "upstream entry rejected", "upstream entry older than known", "upstream limit":
		return upstreams[line.Fields["upstream"]]
	default:
		return false
	}
}

// cause describes what decided how the request ended, from the last line about it.
func cause(r *Report) string {
	last := r.Lines[len(r.Lines)-1]
	status := fmt.Sprint(last.Fields["status"])
	switch last.Event {
	case "request answered":
		return answeredCause(last, status) + homes(last)
	case "relayed request answered":
		return fmt.Sprintf("status %s after %v ms, through host %v", status, last.Fields["took_ms"], last.Fields["peer"]) + homes(last)
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
		text += upstreamLoss(r, last)
	}
	return text + homes(last)
}

// homes says in which regions a request may be served, and in which one its last upstream is. It
// is empty if all regions may serve it.
func homes(last Line) string {
	switch {
	case last.Fields["homes"] == nil:
		return ""
	case last.Fields["region"] == nil:
		return fmt.Sprintf("; its homes under policy %v are %v", last.Fields["version"], last.Fields["homes"])
	}
	return fmt.Sprintf("; its homes under policy %v are %v, the upstream is in %v", last.Fields["version"], last.Fields["homes"], last.Fields["region"])
}

// upstreamLoss says how long before the end of the request the entry of its last
// upstream disappeared. It is empty if the entry did not disappear.
func upstreamLoss(r *Report, last Line) string {
	for _, line := range r.StateChanges {
		if line.Event == "upstream gone" && line.Fields["upstream"] == last.Fields["upstream"] {
			return fmt.Sprintf("; the upstream's entry vanished %d ms before the end", last.Time.Sub(line.Time).Milliseconds())
		}
	}
	return ""
}

// answeredCause explains the latency of a request that got a response.
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
