package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPayloadSizes(t *testing.T) {
	for _, size := range []int{1, PayloadBytes - 1, PayloadBytes, PayloadBytes + 1, 3 * PayloadBytes} {
		for _, known := range []bool{true, false} {
			body := bytes.Repeat([]byte{'x'}, size)
			length := int64(-1)
			if known {
				length = int64(size)
			}
			p, err := ReadPayload(bytes.NewReader(body), length)
			require.NoError(t, err)
			whole, ok := p.Whole()
			if ok {
				require.Equal(t, body, whole)
				require.Equal(t, int64(size), p.Length())
			}
			require.Equal(t, size < PayloadBytes || size == PayloadBytes && known, ok)
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

// The buffer goes back to the pool only when no transport can read it.
func TestPayloadKeepsItsBufferWhileAReaderIsOpen(t *testing.T) {
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
