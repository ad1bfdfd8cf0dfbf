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

// answering is a stream whose peer answers a request as soon as it sees that the
// request was cut.
type answering struct {
	cut    chan struct{}
	once   sync.Once
	answer io.Reader
}

func (s *answering) OpenStream(context.Context, netip.AddrPort, fleet.Kind) (fleet.Stream, error) {
	return s, nil
}

func (s *answering) Read(p []byte) (int, error) {
	<-s.cut
	return s.answer.Read(p)
}
func (s *answering) Write(p []byte) (int, error)  { return len(p), nil }
func (s *answering) CloseWrite() error            { return nil }
func (s *answering) CancelWrite(fleet.CancelCode) { s.once.Do(func() { close(s.cut) }) }
func (s *answering) CancelRead(fleet.CancelCode)  {}
func (s *answering) SetDeadline(time.Time) error  { return nil }
func (s *answering) Context() context.Context     { return context.Background() }
func (s *answering) Close() error                 { return nil }

// An answer that overtakes the end of its stream is no answer to a request whose
// body broke off.
func TestAnswerToACutRequestIsAFailure(t *testing.T) {
	head, err := fleet.AppendFrame(nil, answerHead{Status: http.StatusOK}, maxHeaderFrame)
	require.NoError(t, err)
	broken := errors.New("the body broke off")
	body := io.MultiReader(bytes.NewReader([]byte("half")), iotest.ErrReader(broken))
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://h/", body)
	require.NoError(t, err)
	client := &Client{Streams: &answering{cut: make(chan struct{}), answer: bytes.NewReader(head)}}
	_, err = client.Send(netip.MustParseAddrPort("127.0.0.1:1"), Metadata{}, request)
	var failure *Error
	require.ErrorAs(t, err, &failure)
	require.ErrorIs(t, err, broken)
	require.False(t, failure.NotSent)
}
