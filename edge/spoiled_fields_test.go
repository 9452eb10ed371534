package edge

import (
	"net/http"
	"testing"
)

// Guards against MIXED: an engine spoils its signature, or sends none behind the name of the field, and the answer is passed on
// as a success.
func TestAnswerWithASpoiledSignatureIsNotPassedOn(t *testing.T) {
	for _, value := range []string{"", " \t", "\xff{]", "3e1b.\xff\xfe", "\xc3\xa9", "3e1b.07\t5a2"} {
		for _, path := range []string{"/once/", "/resumable/"} {
			f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
				s.write("HTTP/1.1 200 OK\r\nT-Id: %ID\r\nT-Signed: " + value + "\r\nT-Load: 4,4,4\r\nT-Limit: 1\r\nContent-Length: 16\r\n\r\nid: 1\ndata: ab\n\n")
			}))
			resp, _, err := f.client().call("POST", path)
			f.is.NoErr(err)
			if resp.Status != http.StatusBadGateway {
				t.Errorf("%q %s: %d", value, path, resp.Status)
			}
			if f.logs.contains("target_limited") {
				t.Errorf("%q %s: rate limit taken", value, path)
			}
		}
	}
}
