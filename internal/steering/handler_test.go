package steering

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/api"
	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/fake/store"
)

// A configuration loaded from the store holds its client blocks in packed form
// instead of the ClientBlocks slice; look-ups must find them there.
func TestServiceFindsTheBlocksOfADistributedConfiguration(t *testing.T) {
	repository := configuration.NewRepository(configuration.RepositoryConfig{Store: store.New()})
	_, err := repository.Commit(t.Context(), 0, testSnapshot(func(c *configuration.Configuration) {
		c.Regions = []configuration.Region{{Name: "ontario"}, {Name: "michigan"}}
	}).Configuration)
	require.NoError(t, err)
	snapshot, err := repository.Load(t.Context())
	require.NoError(t, err)
	hosts := testHosts()
	s := New(Options{
		Self:          hosts[0].Identity,
		Configuration: func() *configuration.Snapshot { return snapshot },
		Hosts:         func() []Host { return hosts },
		Documents:     func(string) []distribution.Document { return nil },
	})
	s.Refresh()
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, httptest.NewRequest("GET", "/v1/entry-hosts?service=booking-desk&client=10.9.0.1", nil))

	var response api.LookupResponse
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &response))
	require.Equal(t, "lansing", response.Hosts[0].FailureDomain)
}
