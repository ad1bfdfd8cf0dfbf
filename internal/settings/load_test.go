package settings

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/configuration"
)

const completeSettings = `{
	// identity and location of this host
	"host": {"id": "h1", "failureDomain": "toronto", "region": "ontario"},
	"entry": {"listen": "127.0.0.1:8080"},
	"fleet": {
		"listen": "0.0.0.0:9443",
		"advertise": "127.0.0.1:9443",
		"tls": {"ca": "ca.pem", "certificate": "h1.pem", "key": "h1.key"},
	},
	"admin": {"listen": "127.0.0.1:9090"},
	"platform": {"endpoints": ["http://127.0.0.1:2379"]},
	"shutdown": {"notice": "1s", "grace": "5s"},
}`

func TestParseFillsInDefaults(t *testing.T) {
	s, err := Parse("host.jsonc", []byte(completeSettings))
	require.NoError(t, err)
	require.Equal(t, 5*time.Second, s.Shutdown.Grace.Std())
	require.Equal(t, "info", s.Log.Level)
	require.Equal(t, "127.0.0.1:9443", s.FleetAddress().String())
	require.Equal(t, "127.0.0.1:8080", s.EntryAddress().String())
}

func TestParseReportsAllIssuesWithLineAndField(t *testing.T) {
	_, err := Parse("host.jsonc", []byte(`{
	"host": {"id": "h1", "failureDomain": ""},
	"entry": {"listen": "0.0.0.0:8080"},
	"fleet": {"listen": "127.0.0.1:9443", "port": 1},
	"platform": {"endpoints": ["ftp://store"]},
	"log": {"level": "loud"},
	"shutdown": {"grace": "-1s"}
}`))
	var invalid *configuration.InvalidError
	require.ErrorAs(t, err, &invalid)
	type issueLocation struct {
		line  int
		field string
		code  configuration.Code
	}
	var got []issueLocation
	for _, issue := range invalid.Issues {
		require.Equal(t, "host.jsonc", issue.File)
		got = append(got, issueLocation{issue.Line, issue.Field, issue.Code})
	}
	require.ElementsMatch(t, []issueLocation{
		{4, "fleet.port", configuration.CodeUnknownField},
		{2, "host.failureDomain", configuration.CodeMissing},
		{2, "host.region", configuration.CodeMissing},
		{1, "admin.listen", configuration.CodeMissing},
		{3, "entry.advertise", configuration.CodeRange},
		{4, "fleet.tls.ca", configuration.CodeMissing},
		{4, "fleet.tls.certificate", configuration.CodeMissing},
		{4, "fleet.tls.key", configuration.CodeMissing},
		{5, "platform.endpoints[0]", configuration.CodeFormat},
		{6, "log.level", configuration.CodeFormat},
		{7, "shutdown.notice", configuration.CodeRange},
		{7, "shutdown.grace", configuration.CodeRange},
	}, got)
}

func TestParseReportsSyntaxErrors(t *testing.T) {
	_, err := Parse("host.jsonc", []byte("{\n\"host\": }"))
	var invalid *configuration.InvalidError
	require.ErrorAs(t, err, &invalid)
	require.Len(t, invalid.Issues, 1)
	require.Equal(t, 2, invalid.Issues[0].Line)
}
