package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// format is the form of a command's output.
type format string

const (
	formatTable format = "table"
	formatJSON  format = "json"
)

func parseFormat(text string) (format, error) {
	switch format(text) {
	case formatTable, formatJSON:
		return format(text), nil
	default:
		return formatTable, &UsageError{Detail: fmt.Sprintf("output format %q is neither table nor json", text)}
	}
}

// print writes value as JSON, or calls table for the other format.
func (a *App) print(output format, value any, table func(w io.Writer)) error {
	if output == formatJSON {
		encoder := json.NewEncoder(a.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table(a.Stdout)
	return nil
}

// tabulate writes rows with aligned columns.
func tabulate(w io.Writer, rows ...[]any) {
	tabs := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				_, _ = fmt.Fprint(tabs, "\t")
			}
			_, _ = fmt.Fprint(tabs, cell)
		}
		_, _ = fmt.Fprintln(tabs)
	}
	_ = tabs.Flush()
}
