package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Responses that net/http makes itself must get a result code. A handler's response
// or a part of a body that looks similar must pass unchanged.
func TestNetHTTPErrorResponsesAreRecognized(t *testing.T) {
	for _, test := range []struct{ response, status string }{
		{"HTTP/1.1 431 Request Header Fields Too Large" + netHTTPErrorHeaders + "431", "431 Request Header Fields Too Large"},
		{"HTTP/1.1 400 Bad Request: malformed Host header" + netHTTPErrorHeaders + "400", "400 Bad Request: malformed Host header"},
		{"HTTP/1.1 400 Bad Request\r\nDate: now" + netHTTPErrorHeaders + "of a handler", ""},
		{"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 400 Bad Request" + netHTTPErrorHeaders, ""},
		{"a part of a body: HTTP/1.1 400 Bad Request" + netHTTPErrorHeaders, ""},
		{"HTTP/1.1 400", ""},
		{"", ""},
	} {
		is := is.New(t)
		status, ok := netHTTPErrorStatus([]byte(test.response))
		is.Equal(status, test.status)
		is.Equal(ok, test.status != "")
		if ok {
			is.True(strings.HasPrefix(string(errorResponse(status)), protocolPrefix+status+crlf))
		}
	}
}
