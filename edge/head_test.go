package edge

import (
	"fmt"
	"io"
	"testing"
	"time"
)

// Guards against MIXED: an answer to HEAD has a body behind its head, which the caller takes for the beginning of the
// next answer on its connection. Answers of targets and the router's own are played on one connection.
func TestAnswersToHEADHaveNoBody(t *testing.T) {
	for name, handle := range map[string]func(s *receivedRequest){
		"answer": func(s *receivedRequest) {
			s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 5\r\n\r\n")
		},
		"chunked":    func(s *receivedRequest) { s.write(streamHead) },
		"neither":    func(s *receivedRequest) { s.write("HTTP/1.1 200 X\r\nT-Id: %ID\r\nT-Signed: y\r\n\r\n") },
		"no content": func(s *receivedRequest) { s.write("HTTP/1.1 204 X\r\nT-Id: %ID\r\nT-Signed: y\r\n\r\n") },
		"error": func(s *receivedRequest) {
			s.write("HTTP/1.1 500 X\r\nT-Id: %ID\r\nT-Signed: y\r\nContent-Length: 5\r\n\r\n")
		},
		"refusal": func(s *receivedRequest) {
			s.write("HTTP/1.1 503 X\r\nT-Id: %ID\r\nT-Not-Run: 1\r\nContent-Length: 5\r\n\r\n")
		},
		"crash": func(s *receivedRequest) { s.reset() },
	} {
		t.Run(name, func(t *testing.T) {
			target := newTestTarget(t, "t1", func(s *receivedRequest) {
				if s.Method == "HEAD" {
					handle(s)
					return
				}
				s.answer(200, "done")
			})
			f := newFixture(t, target)
			c := f.client()
			c.conn.SetDeadline(time.Now().Add(10 * time.Second))
			for _, request := range []string{
				"HEAD /once/", "HEAD /idempotent/", "HEAD /stream/", "HEAD /resumable/", "HEAD /short/", "HEAD /unknown/", "HEAD /once/\r\nT-Key: wrong", "GET /idempotent/",
			} {
				var method, path string
				fmt.Sscan(request, &method, &path)
				extra := request[len(method)+1+len(path):]
				c.id++
				_, err := io.WriteString(c.conn, fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nT-Id: %d%s\r\nT-Key: key\r\nT-Deadline: 3000\r\n\r\n", method, path, c.id, extra))
				f.is.NoErr(err)
				resp, body, err := c.receive(method)
				f.is.NoErr(err) // the answer begins with its head
				f.is.Equal(resp.Header.Get("T-Id"), fmt.Sprint(c.id))
				f.is.Equal(int64(len(body)), resp.Length())
				f.is.Equal(len(body) > 0, method == "GET")
			}
		})
	}
}
