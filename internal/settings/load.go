package settings

import (
	"os"
	"path/filepath"

	"peridotrail/internal/configuration"
)

// Load reads the settings file at path, which is JSON with comments, applies the
// defaults and validates the result. The error is a *configuration.InvalidError with
// all issues.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		issue := configuration.Issue{File: path, Code: configuration.CodeUnreadable, Detail: err.Error()}
		return Settings{}, &configuration.InvalidError{Issues: []configuration.Issue{issue}}
	}
	return Parse(filepath.Base(path), data)
}

// Parse is like Load for data that has already been read. name is the file name in
// issues.
func Parse(name string, data []byte) (Settings, error) {
	s := Default()
	document := configuration.ParseDocument(name, data)
	document.Decode(&s)
	v := validator{document: document}
	if document.WellFormed() {
		v.checkSettings(s)
	}
	return s, document.Err(v.issues)
}
