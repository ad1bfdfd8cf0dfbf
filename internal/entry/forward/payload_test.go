package forward

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPayloadSizes(t *testing.T) {
	const buffer = PayloadBufferBytes
	for _, size := range []int{1, buffer - 1, buffer, buffer + 1, 2 * buffer, 3*buffer + 7, MaxKeptBytes - 1, MaxKeptBytes, MaxKeptBytes + 1} {
		for _, known := range []bool{true, false} {
			for _, memory := range []int64{0, 2 * buffer, 4 << 20} {
				body := bytes.Repeat([]byte("0123456"), size/7+1)[:size]
				length := int64(-1)
				if known {
					length = int64(size)
				}
				budget := NewPayloadBudget(memory, nil)
				p, err := ReadPayload(bytes.NewReader(body), length, budget)
				require.NoError(t, err)
				fits := size < buffer || size < min(MaxKeptBytes, buffer+int(memory))
				if known {
					fits = size <= min(MaxKeptBytes, buffer+int(memory))
				}
				require.Equal(t, fits, p.Kept(), "size %d, known %v, memory %d", size, known, memory)
				if p.Kept() {
					require.Equal(t, int64(size), p.Length())
				}
				require.GreaterOrEqual(t, budget.Free(), int64(0))
				for _, again := range []bool{true, fits} {
					require.Equal(t, again, p.Rewind())
					if !again {
						break
					}
					r := p.Reader()
					got, err := io.ReadAll(r)
					require.NoError(t, err)
					require.True(t, bytes.Equal(body, got))
					require.True(t, p.Received())
					require.NoError(t, r.Close())
				}
				p.Release()
				require.Equal(t, memory, budget.Free())
			}
		}
	}
}

func TestPayloadCanBeSentAgain(t *testing.T) {
	p, err := ReadPayload(strings.NewReader("adult"), 5, nil)
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
	_, err := ReadPayload(strings.NewReader("adu"), 5, nil)
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// A buffer that returned to the pool while a transport could still read it would
// let the transport send bytes of another request.
func TestBufferReturnsToThePoolAfterAllReadersClosed(t *testing.T) {
	p, err := ReadPayload(strings.NewReader("first"), 5, nil)
	require.NoError(t, err)
	r := p.Reader()
	p.Release()
	require.NotNil(t, p.buffers)
	got, err := io.ReadAll(r)
	require.NoError(t, err)
	require.Equal(t, "first", string(got))
	require.NoError(t, r.Close())
	require.NoError(t, r.Close())
	require.Nil(t, p.buffers)
	_, err = r.Read(make([]byte, 1))
	var closed *PayloadClosedError
	require.ErrorAs(t, err, &closed)
}
