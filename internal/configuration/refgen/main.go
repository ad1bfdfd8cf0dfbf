// Command refgen generates the configuration reference for operators from the doc
// comments of the configuration types. Run it with "go generate
// ./internal/configuration".
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	model := flag.String("model", "model.go", "Go file with the types")
	page := flag.String("page", "../../docs/operators/configuration.md", "page to write")
	flag.Parse()
	if err := write(*model, *page); err != nil {
		fmt.Fprintln(os.Stderr, "refgen:", err)
		os.Exit(1)
	}
}

func write(model, page string) error {
	source, err := os.ReadFile(model)
	if err != nil {
		return err
	}
	text, err := Generate(source)
	if err != nil {
		return err
	}
	return os.WriteFile(page, text, 0o644)
}
