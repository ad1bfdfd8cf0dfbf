package forward

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// While an upstream still reads a body, its request may be refused by the upstream or the
// exchange may end. The server then reads the rest of the body itself, so a read by the
// earlier attempt would leave out bytes.
func TestReaderOfAnEndedAttemptGetsNoMoreBytes(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789abcdef"), 2*PayloadBufferBytes/16)
	p, err := ReadPayload(bytes.NewReader(body), -1, nil)
	require.NoError(t, err)
	r := p.Reader()
	_, err = io.ReadFull(r, make([]byte, PayloadBufferBytes+16))
	require.NoError(t, err)
	p.Release()
	var closed *PayloadClosedError
	n, err := r.Read(make([]byte, 16))
	require.Zero(t, n)
	require.ErrorAs(t, err, &closed)
	require.NoError(t, r.Close())
}

// A second reader must not begin where an earlier one stopped, and an earlier one that still
// waits for bytes gets none of those that come after the second one has begun.
func TestRewoundBodyIsReadByOneReader(t *testing.T) {
	beginning, caller := bytes.Repeat([]byte("b"), PayloadBufferBytes), make(chan []byte)
	p, err := ReadPayload(io.MultiReader(bytes.NewReader(beginning), channelReader(caller)), -1, nil)
	require.NoError(t, err)
	defer p.Release()
	first := p.Reader()
	_, err = io.ReadFull(first, make([]byte, PayloadBufferBytes))
	require.NoError(t, err)
	require.True(t, p.Rewind(), "nothing beyond the kept bytes was read")
	var closed *PayloadClosedError
	_, err = first.Read(make([]byte, 4))
	require.ErrorAs(t, err, &closed)

	second := p.Reader()
	_, err = io.ReadFull(second, make([]byte, PayloadBufferBytes))
	require.NoError(t, err)
	ended := make(chan error)
	go func() {
		_, err := second.Read(make([]byte, 4))
		ended <- err
	}()
	for !p.begun() {
		time.Sleep(time.Millisecond)
	}
	require.False(t, p.Rewind())
	caller <- []byte("late")
	require.ErrorAs(t, <-ended, &closed)
}

func (p *Payload) begun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.restBegun
}

// channelReader reads the values of a channel. It fails if there is none for a second.
type channelReader chan []byte

func (r channelReader) Read(b []byte) (int, error) {
	select {
	case value := <-r:
		return copy(b, value), nil
	case <-time.After(time.Second):
		return 0, io.ErrNoProgress
	}
}
