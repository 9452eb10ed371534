package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestLibraryStatus(t *testing.T) {
	for _, test := range []struct{ answer, status string }{
		{"HTTP/1.1 431 Request Header Fields Too Large" + libraryHeaders + "431", "431 Request Header Fields Too Large"},
		{"HTTP/1.1 400 Bad Request: malformed Host header" + libraryHeaders + "400", "400 Bad Request: malformed Host header"},
		{"HTTP/1.1 400 Bad Request\r\nDate: now" + libraryHeaders + "of a handler", ""},
		{"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 400 Bad Request" + libraryHeaders, ""},
		{"a part of a body: HTTP/1.1 400 Bad Request" + libraryHeaders, ""},
		{"HTTP/1.1 400", ""},
		{"", ""},
	} {
		is := is.New(t)
		status, ok := libraryStatus([]byte(test.answer))
		is.Equal(status, test.status)
		is.Equal(ok, test.status != "")
		if ok {
			is.True(strings.HasPrefix(string(codedAnswer(status)), protocol+status+lineEnd))
		}
	}
}
