package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"peridotrail/internal/fleet"
)

// respondingStream is a fake stream whose peer sends its response when the request
// is cancelled.
type respondingStream struct {
	cancelled chan struct{}
	once      sync.Once
	response  io.Reader
}

func (s *respondingStream) OpenStream(context.Context, netip.AddrPort, fleet.Kind) (fleet.Stream, error) {
	return s, nil
}

func (s *respondingStream) Read(p []byte) (int, error) {
	<-s.cancelled
	return s.response.Read(p)
}
func (s *respondingStream) Write(p []byte) (int, error)  { return len(p), nil }
func (s *respondingStream) CloseWrite() error            { return nil }
func (s *respondingStream) CancelWrite(fleet.CancelCode) { s.once.Do(func() { close(s.cancelled) }) }
func (s *respondingStream) CancelRead(fleet.CancelCode)  {}
func (s *respondingStream) SetDeadline(time.Time) error  { return nil }
func (s *respondingStream) Context() context.Context     { return context.Background() }
func (s *respondingStream) Close() error                 { return nil }

// When the body of a request fails, the stream is cancelled, but a response of the
// peer may still arrive. It belongs to a truncated request, so Send must return the
// error of the body.
func TestResponseToTruncatedRequestIsAnError(t *testing.T) {
	head, err := fleet.AppendFrame(nil, responseHead{Status: http.StatusOK}, maxHeadFrameSize)
	require.NoError(t, err)
	bodyErr := errors.New("request body failed")
	body := io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(bodyErr))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/", body)
	require.NoError(t, err)
	client := &Client{Streams: &respondingStream{cancelled: make(chan struct{}), response: bytes.NewReader(head)}}
	_, err = client.Send(netip.MustParseAddrPort("127.0.0.1:1"), Metadata{}, request)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.ErrorIs(t, err, bodyErr)
	require.False(t, failure.NotSent)
}
