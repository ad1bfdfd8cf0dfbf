package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPayloadSizes(t *testing.T) {
	for _, size := range []int{1, PayloadBufferBytes - 1, PayloadBufferBytes, PayloadBufferBytes + 1, 3 * PayloadBufferBytes} {
		for _, known := range []bool{true, false} {
			body := bytes.Repeat([]byte{'x'}, size)
			length := int64(-1)
			if known {
				length = int64(size)
			}
			p, err := ReadPayload(bytes.NewReader(body), length)
			require.NoError(t, err)
			whole, ok := p.Buffered()
			if ok {
				require.Equal(t, body, whole)
				require.Equal(t, int64(size), p.Length())
			}
			require.Equal(t, size < PayloadBufferBytes || size == PayloadBufferBytes && known, ok)
			r := p.Reader()
			got, err := io.ReadAll(r)
			require.NoError(t, err)
			require.Equal(t, body, got)
			require.NoError(t, r.Close())
			require.Equal(t, ok, p.Replayable())
			p.Release()
		}
	}
}

func TestPayloadCanBeSentAgain(t *testing.T) {
	p, err := ReadPayload(strings.NewReader("adult"), 5)
	require.NoError(t, err)
	defer p.Release()
	for range 2 {
		r := p.Reader()
		got, err := io.ReadAll(r)
		require.NoError(t, err)
		require.Equal(t, "adult", string(got))
		require.NoError(t, r.Close())
	}
}

func TestShortBodyIsAnError(t *testing.T) {
	_, err := ReadPayload(strings.NewReader("adu"), 5)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A buffer that returned to the pool while a transport could still read it would
// let the transport send bytes of another request.
func TestBufferReturnsToThePoolAfterAllReadersClosed(t *testing.T) {
	p, err := ReadPayload(strings.NewReader("first"), 5)
	require.NoError(t, err)
	r := p.Reader()
	p.Release()
	require.NotNil(t, p.buffer)
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "first", string(got))
	require.NoError(t, r.Close())
	require.NoError(t, r.Close())
	require.Nil(t, p.buffer)
	_, err = r.Read(make([]byte, 1))
	var closed *PayloadClosedError
	require.ErrorAs(t, err, &closed)
}
