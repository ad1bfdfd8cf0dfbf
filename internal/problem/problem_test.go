package problem

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWriteSendsProblemDetails(t *testing.T) {
	recorder := httptest.NewRecorder()
	p := &Problem{Type: TypeRateExceeded, Title: "Rate exceeded", Status: http.StatusTooManyRequests, Executed: ExecutedNo, RetryAfter: 1200 * time.Millisecond}
	p.Write(recorder)

	require.Equal(t, http.StatusTooManyRequests, recorder.Code)
	require.Equal(t, ContentType, recorder.Header().Get("Content-Type"))
	require.Equal(t, "no", recorder.Header().Get(ExecutedHeader))
	require.Equal(t, "2", recorder.Header().Get("Retry-After"))
	var got Problem
	require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &got))
	require.Equal(t, TypeRateExceeded, got.Type)
}
