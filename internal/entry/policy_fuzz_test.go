package entry

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"path"
	"regexp"
	"strings"
	"testing"
	"time"

	"peridotrail/internal/clientaccount"
	"peridotrail/internal/configuration"
	"peridotrail/internal/entry/forward"
	"peridotrail/internal/entry/guard"
	"peridotrail/internal/upstream"
)

// bytesConn is a connection that returns fixed bytes.
type bytesConn struct {
	net.Conn
	reader io.Reader
}

func (c *bytesConn) Read(p []byte) (int, error) { return c.reader.Read(p) }

// readGuardedRequest reads one request through a guarded connection, as the server
// does.
func readGuardedRequest(raw []byte) (*http.Request, error) {
	conn := guard.NewConn(&bytesConn{reader: bytes.NewReader(raw)})
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return nil, err
	}
	return r.WithContext(guard.ConnContext(context.Background(), conn)), nil
}

func fuzzPolicy() *fakePolicy {
	return &fakePolicy{
		keys:   map[clientaccount.Digest]string{clientaccount.DigestOf(testKey): "clinic"},
		routes: []configuration.Route{{Service: "desk", Prefix: "/open/", Open: true}},
	}
}

// FuzzRequestPolicy reads arbitrary bytes as a request. An accepted request must
// have unambiguous framing, must not leave the prefix of an open route and must
// not forward the caller's key.
func FuzzRequestPolicy(f *testing.F) {
	f.Add([]byte("GET /desk/open/x HTTP/1.1\r\nHost: a\r\n\r\n"))
	f.Add([]byte("GET /desk/list?key=" + testKey + " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\nCookie: a=" + testKey + "\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		r, err := readGuardedRequest(raw)
		if err != nil || checkFraming(r) != nil || checkRequest(r) != nil {
			return
		}
		checkAcceptedFraming(t, raw)
		x := &exchange{ctx: t.Context(), id: "1", policy: fuzzPolicy(), deadline: time.Now().Add(time.Hour), payload: forward.EmptyPayload()}
		if x.resolve(r) != nil {
			return
		}
		if x.open {
			checkOpenPath(t, r)
		}
		keyKnown := x.readKey(r)
		if !keyKnown && !x.open || containsKey(r.URL.Path, testKey) || containsKey(r.Host, testKey) || containsKey(r.Method, testKey) {
			return
		}
		if !keyKnown {
			x.key = ""
		}
		out := x.outboundRequest(r, upstream.Target{}, 1000)
		if keyKnown {
			checkNoKey(t, out)
		}
	})
}

// checkAcceptedFraming checks the head independently of net/http and the guard.
func checkAcceptedFraming(t *testing.T, raw []byte) {
	head, _, _ := bytes.Cut(bytes.ReplaceAll(raw, []byte("\r\n"), []byte("\n")), []byte("\n\n"))
	lower := "\n" + strings.ToLower(string(head))
	if strings.Contains(lower, "\ncontent-length:") && strings.Contains(lower, "\ntransfer-encoding:") {
		t.Fatalf("accepted with two framings: %q", raw)
	}
}

// checkOpenPath fails if an upstream that decodes and cleans the path several
// times would leave the prefix of the open route.
func checkOpenPath(t *testing.T, r *http.Request) {
	text := r.URL.EscapedPath()
	for range 3 {
		text, _, _ = strings.Cut(strings.ReplaceAll(text, "\\", "/"), ";")
		if !strings.HasPrefix(path.Clean(text)+"/", "/desk/open/") {
			t.Fatalf("open path %q means %q", r.RequestURI, path.Clean(text))
		}
		decoded, err := url.PathUnescape(text)
		if err != nil {
			return
		}
		text = decoded
	}
}

// checkNoKey fails if the request contains the key, also percent-encoded.
func checkNoKey(t *testing.T, out *http.Request) {
	var wire bytes.Buffer
	if err := out.Write(&wire); err != nil {
		return // refused by the transport as well
	}
	text := wire.String()
	for range 3 {
		if strings.Contains(text, testKey) {
			t.Fatalf("key is forwarded: %q", wire.String())
		}
		text = escapes.ReplaceAllStringFunc(text, func(escape string) string {
			decoded, _ := url.PathUnescape(escape)
			return decoded
		})
	}
}

var escapes = regexp.MustCompile("%[0-9a-fA-F]{2}")
