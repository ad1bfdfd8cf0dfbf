package guard

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var framings = []struct {
	name  string
	bytes string
	want  Violation
}{
	{"get", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", ViolationNone},
	{"fixed body then get", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET / HTTP/1.1\r\nHost: a\r\n\r\n", ViolationNone},
	{"body that looks like a head", "POST / HTTP/1.1\r\nContent-Length: 19\r\n\r\n x\r\n y\r\nabcdefghijk", ViolationNone},
	{"chunked with trailer", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\nGET / HTTP/1.1\r\n\r\n", ViolationNone},
	{"both", "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ViolationLengthAndChunked},
	{"both in another case", "POST / HTTP/1.1\ntransfer-encoding: Chunked\ncontent-length:3\n\n", ViolationLengthAndChunked},
	{"both in the second request", "POST / HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcPOST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ViolationLengthAndChunked},
	{"both after a chunked request", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\nPOST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", ViolationLengthAndChunked},
	{"two lengths", "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n", ViolationRepeatedLength},
	{"signed length", "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n", ViolationBadLength},
	{"listed length", "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n", ViolationBadLength},
	{"empty length", "POST / HTTP/1.1\r\nContent-Length:\r\n\r\n", ViolationBadLength},
	{"gzip coding", "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", ViolationTransferEncoding},
	{"coding in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", ViolationTransferEncoding},
	{"folded", "GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n", ViolationFoldedLine},
	{"space before colon", "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n", ViolationBadHeaderName},
	{"bare carriage return", "GET / HTTP/1.1\r\nA: b\rContent-Length: 3\r\n\r\n", ViolationBareCarriageReturn},
	{"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n", ViolationBadChunk},
}

func TestScannerFindsAmbiguousFraming(t *testing.T) {
	for _, c := range framings {
		t.Run(c.name, func(t *testing.T) {
			var s scanner
			s.scan([]byte(c.bytes))
			require.Equal(t, c.want, s.violation)
		})
	}
}

func TestScannerDoesNotDependOnReadSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := rapid.SampledFrom(framings).Draw(t, "framing")
		data := []byte(c.bytes)
		var s scanner
		for len(data) > 0 {
			n := rapid.IntRange(1, len(data)).Draw(t, "read")
			s.scan(data[:n])
			data = data[n:]
		}
		if s.violation != c.want {
			t.Fatalf("%s: %v, want %v", c.name, s.violation, c.want)
		}
	})
}
