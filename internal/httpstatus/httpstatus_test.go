package httpstatus

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestCheck(t *testing.T) {
	for status := -1000; status <= 1000; status++ {
		err := Check(status)
		if status >= 200 && status <= 599 {
			require.NoError(t, err)
			continue
		}
		var invalid *InvalidError
		require.ErrorAs(t, err, &invalid)
		require.Equal(t, status, invalid.Status)
	}
}
