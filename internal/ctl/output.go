package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// outputFormat is the format of a command's output.
type outputFormat string

const (
	outputTable outputFormat = "table"
	outputJSON  outputFormat = "json"
)

func parseOutputFormat(text string) (outputFormat, error) {
	switch outputFormat(text) {
	case outputTable, outputJSON:
		return outputFormat(text), nil
	default:
		return outputTable, &UsageError{Detail: fmt.Sprintf("output format %q is neither table nor json", text)}
	}
}

// print writes value as JSON, or calls writeTable for the table format.
func (a *App) print(output outputFormat, value any, writeTable func(w io.Writer)) error {
	if output == outputJSON {
		encoder := json.NewEncoder(a.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	writeTable(a.Stdout)
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
