package edge

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
)

// Guards against ORDER: a caller repeats Last-Event-Id, the router checks the stream and its version by the first one, and the
// target goes on after another one. Odd values reach the target as they are.
func TestStreamGoesOnAfterOneLastEventID(t *testing.T) {
	target := newTestTarget(t, "t1", func(s *receivedRequest) {
		values := s.Header.Values("T-Last")
		last := 0
		if len(values) > 0 {
			last, _ = strconv.Atoi(values[len(values)-1])
		}
		s.writeStreamHead()
		for event := last + 1; event <= min(6, last+6); event++ {
			s.writeChunk(fmt.Sprintf("id: %d\ndata: a\n\n", event))
		}
		s.writeLastChunk()
	})
	f := newFixture(t, target)
	for _, c := range []struct{ fields, received, events string }{
		{"T-Last: 2\r\nT-Last: 4\r\n", `["2"]`, "3456"},
		{"T-Last: 4\r\nT-Last: 2\r\n", `["4"]`, "56"},
		{"T-Last: 2\r\nt-last:\r\n", `["2"]`, "3456"},
		{"T-Last:\r\nT-LAST: 2\r\n", `[""]`, "123456"},
		{"T-Last:\r\n", `[""]`, "123456"},
		{"T-Last: 0\r\n", `["0"]`, "123456"},
		{"T-Last:  2 \r\n", `["2"]`, "3456"},
		{"T-Last: 7\r\n", `["7"]`, ""},
		{"T-Last: x y\r\n", `["x y"]`, "123456"},
		{"T-Last: 2, 4\r\n", `["2, 4"]`, "123456"},
		{"T-Last: \xff{]\r\n", `["\xff{]"]`, "123456"},
		{"T-Resumes: a\r\n", `[]`, "123456"},
		{"T-Last: 2\r\nT-Resumes: a\r\nT-Resumes: b\r\n", `["2"]`, "3456"},
		{"T-Last: 2\r\nT-Resumes: \xff\r\n", `["2"]`, "3456"},
	} {
		for _, path := range []string{"/resumable/", "/stream/"} {
			client := f.client()
			client.send("POST", path, c.fields, "")
			_, body, err := client.receive("POST")
			f.is.NoErr(err)
			var events strings.Builder
			for line := range strings.SplitSeq(body, "\n") {
				if id, ok := strings.CutPrefix(line, "id: "); ok {
					events.WriteString(id)
				}
			}
			requests := target.requests()
			received := fmt.Sprintf("%q", requests[len(requests)-1].Header.Values("T-Last"))
			if received != c.received || events.String() != c.events {
				t.Errorf("%s %q: target got %s, caller %s", path, c.fields, received, events.String())
			}
		}
	}
}
