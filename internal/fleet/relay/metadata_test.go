package relay

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"peridotrail/internal/fleet"
)

// Hosts of earlier builds, without Metadata.Homes, relay to hosts of this one and the other way round.
func TestMetadataOfEarlierBuilds(t *testing.T) {
	type earlier struct {
		Service   string `cbor:"1,keyasint,omitempty"`
		Counted   bool   `cbor:"10,keyasint,omitempty"`
		ElapsedMs int64  `cbor:"11,keyasint,omitempty"`
	}
	type earlierHead struct {
		Metadata earlier `cbor:"1,keyasint"`
		Method   string  `cbor:"2,keyasint"`
	}
	convert := func(from, to any) {
		frame, err := fleet.AppendFrame(nil, from, maxHeadFrameSize)
		require.NoError(t, err)
		require.NoError(t, fleet.ReadFrame(bytes.NewReader(frame), to, maxHeadFrameSize))
	}
	old := earlierHead{Metadata: earlier{Service: "svc", Counted: true, ElapsedMs: 7}, Method: "GET"}
	var head requestHead
	convert(old, &head)
	require.Equal(t, requestHead{Metadata: Metadata{Service: "svc", Counted: true, ElapsedMs: 7}, Method: "GET"}, head)
	head.Metadata.Homes = []string{"east", "west"}
	var read requestHead
	convert(head, &read)
	require.Equal(t, head, read)
	var readOld earlierHead
	convert(head, &readOld)
	require.Equal(t, old, readOld)
}
