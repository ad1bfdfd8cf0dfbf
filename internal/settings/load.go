package settings

import (
	"os"
	"path/filepath"

	"peridotrail/internal/configuration"
)

// Load reads the settings file at path, in JSON with comments, fills in the
// defaults and validates the result. The error is a
// *configuration.InvalidError with all issues.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		issue := configuration.Issue{File: path, Code: configuration.CodeUnreadable, Detail: err.Error()}
		return Settings{}, &configuration.InvalidError{Issues: []configuration.Issue{issue}}
	}
	return Parse(filepath.Base(path), data)
}

// Parse is Load for a file that has been read already.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	document := configuration.ParseDocument(name, data)
	document.Decode(&s)
	v := validator{document: document}
	if document.WellFormed() {
		v.settings(s)
	}
	return s, document.Err(v.issues)
}
