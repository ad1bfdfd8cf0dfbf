package settings

import (
	"testing"

	"github.com/go-faster/errors"

	"peridotrail/internal/configuration"
)

// FuzzParse checks that any input results in valid settings or in an *InvalidError whose
// issues give the file and line.
func FuzzParse(f *testing.F) {
	f.Add([]byte(completeSettings))
	f.Add([]byte(`{"host": {"id": "h1", "id": "h2"}, "log": null}`))
	f.Add([]byte(`[1, 2]`))
	f.Add([]byte("{\"fleet\": {\"peers\": [\"x\"]}, // open\n"))
	f.Add([]byte(`{"shutdown": {"grace": "9223372036854775807ns", "notice": 5}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("host.jsonc", data)
		if err == nil {
			if !s.EntryAddress().IsValid() || s.Host.ID == "" || s.Shutdown.Grace <= 0 {
				t.Fatalf("accepted incomplete settings %+v", s)
			}
			return
		}
		var invalid *configuration.InvalidError
		if !errors.As(err, &invalid) || len(invalid.Issues) == 0 {
			t.Fatalf("error is not an *InvalidError with issues: %v", err)
		}
		for _, issue := range invalid.Issues {
			if issue.File != "host.jsonc" || issue.Line < 1 {
				t.Fatalf("issue without file or line: %+v", issue)
			}
		}
	})
}
