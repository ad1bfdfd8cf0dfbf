package entry

import (
	"net/http"
	"strings"

	"peridotrail/internal/entry/forward"
	"peridotrail/internal/entry/guard"
	"peridotrail/internal/problem"
)

// validate refuses requests that two servers could interpret differently. It is
// the first handler of the chain that looks at the request.
func validate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := exchangeOf(r)
		if p := checkFraming(r); p != nil {
			x.refuseAndClose(w, p)
			return
		}
		if p := checkRequest(r); p != nil {
			x.refuseAndClose(w, p)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// checkFraming refuses a request if the connection's guard found its framing
// ambiguous. On a connection without a guard it refuses all chunked requests,
// because net/http does not show whether they also had a Content-Length.
func checkFraming(r *http.Request) *problem.Problem {
	conn := guard.FromContext(r.Context())
	if conn == nil {
		if len(r.TransferEncoding) > 0 {
			return malformed("Transfer-Encoding is not accepted here")
		}
		return nil
	}
	if v := conn.Violation(); v != guard.ViolationNone {
		return malformed(v.String())
	}
	return nil
}

// checkRequest checks the request line and the headers.
func checkRequest(r *http.Request) *problem.Problem {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace:
		return malformed("the method is not accepted")
	}
	if p := checkTarget(r); p != nil {
		return p
	}
	return checkHeaders(r.Header)
}

func checkTarget(r *http.Request) *problem.Problem {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return malformed("the request target must begin with a slash")
	}
	if strings.IndexByte(r.RequestURI, '#') >= 0 {
		return malformed("the request target holds a fragment")
	}
	if !isUnambiguousPath(r.URL.EscapedPath(), r.URL.Path) {
		return malformed("the path is ambiguous")
	}
	return nil
}

// isUnambiguousPath reports whether all servers split the path into the same
// segments. Such a path has no empty or dot segments, no encoded separators, no
// parameters, backslashes, control bytes or bytes outside ASCII, and no second
// level of encoding.
func isUnambiguousPath(escaped, decoded string) bool {
	if !strings.HasPrefix(escaped, "/") || strings.Contains(escaped, "//") {
		return false
	}
	for i := 0; i < len(decoded); i++ {
		c := decoded[i]
		if c <= ' ' || c >= 0x7f || c == '\\' || c == ';' || c == '%' {
			return false
		}
	}
	if strings.Count(escaped, "/") != strings.Count(decoded, "/") {
		return false
	}
	if strings.IndexByte(decoded, '.') < 0 {
		return true
	}
	return !hasDotSegment(decoded)
}

func hasDotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func checkHeaders(header http.Header) *problem.Problem {
	for _, name := range [...]string{authorization, DeadlineHeader, IdempotencyKey, "X-Idempotency-Key"} {
		if len(header[name]) > 1 {
			return malformed("more than one " + name + " header")
		}
	}
	if len(header["Upgrade"]) > 0 {
		return malformed("protocol upgrades are not accepted")
	}
	for _, token := range forward.ConnectionTokens(header) {
		if protectedHeaders[token] || token == "Upgrade" || strings.HasPrefix(token, headerPrefix) {
			return malformed("the Connection header names " + token)
		}
	}
	return nil
}
