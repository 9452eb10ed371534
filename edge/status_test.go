package edge

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// noStatuses are codes that are not the status of a final answer.
var noStatuses = []string{"000", "007", "099", "100", "101", "199", "600", "700", "999", "20", "2000", "+20", "-00", "2e2", "", "OK"}

// Guards against MIXED: a target in trouble answers with a status that does not exist, and the caller gets that as an answer.
func TestAnswerWithoutAStatusIsNotPassedOn(t *testing.T) {
	for name, write := range framings {
		for _, status := range noStatuses {
			t.Run(name+status, func(t *testing.T) {
				t.Parallel()
				for route, whole := range uploadPaths {
					var broken atomic.Bool
					handle := func(s *receivedRequest) {
						if !broken.CompareAndSwap(false, true) {
							s.answer(http.StatusOK, whole)
							return
						}
						write(s, "HTTP/1.1 "+status+" X\r\nT-Id: %ID\r\nT-Signed: y\r\n", whole)
						s.conn.Close()
					}
					f := newFixture(t, newTestTarget(t, "t1", handle), newTestTarget(t, "t2", handle))
					resp, body, err := f.client().call("POST", route)
					f.is.NoErr(err)
					if route == "/idempotent/" || route == "/resumable/" {
						f.is.Equal(resp.Status, http.StatusOK)
						f.is.Equal(body, whole)
						continue
					}
					f.is.Equal(resp.Status, http.StatusBadGateway)
					f.is.Equal(ranHeader(resp), "UNKNOWN")
					f.is.Equal(resp.Header.Get("T-Signed"), "")
				}
			})
		}
	}
}

// Guards against MIXED: the same behind an answer that breaks off within its body, which the second one completes.
func TestBodyThatAnAnswerWithoutAStatusCompletesIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		// second returns an answer with the status.
		second := func(s *receivedRequest, framing, body string) string {
			return strings.ReplaceAll(strings.Replace(answerText("%ID", framing, body), "200 OK", status+" X", 1), "%ID", s.id)
		}
		length := fmt.Sprintf("Content-Length: %d", len(soundBody))
		for name, spoil := range map[string]func(s *receivedRequest, _ string){
			"length": func(s *receivedRequest, _ string) {
				first := withLength("%ID")
				s.write(first[:len(first)-30] + second(s, length, soundBody))
			},
			"neither": func(s *receivedRequest, _ string) {
				s.write(answerText("%ID", "Connection: close", soundBody[:20]) + second(s, length, soundBody))
				s.conn.Close()
			},
			"chunks": func(s *receivedRequest, _ string) {
				next := second(s, "Transfer-Encoding: chunked", "")
				s.write(answerText("%ID", "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s", 20+len(next)-2, soundBody[:20])))
				s.write(fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", next, len(soundBody), soundBody))
			},
		} {
			for _, path := range []string{"/once/", "/idempotent/"} {
				t.Run(status+name+path, func(t *testing.T) {
					t.Parallel()
					playSpoiled(t, path, "answer_in_body", spoil)
				})
			}
		}
	}
}

// Guards against MIXED: the same behind a head that breaks off.
func TestHeadThatBreaksOffIsNotJoinedWithOneWithoutAStatus(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Info: engine a\r\nT-Id: %ID\r\nT-Signed: yes\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\n"
	for _, status := range []string{"000", "007", "099", "600", "999"} {
		for _, last := range []string{"HTTP/1.1 200 ", "X-Info: ", ": eng", "T-Id: ", "%ID", "T-Signed:", "T-Signed: y", "T-Signed: yes"} {
			t.Run(fmt.Sprintf("%s%q", status, last), func(t *testing.T) {
				t.Parallel()
				first, _, _ := strings.Cut(head, last)
				f := newFixture(t, newTestTarget(t, "t1", func(s *receivedRequest) {
					s.write(first + last + strings.Replace(head, "200 OK", status+" X", 1) + "next")
				}))
				resp, body, err := f.client().call("POST", "/once/")
				f.is.NoErr(err)
				if resp.Status != http.StatusBadGateway {
					t.Errorf("%d %q %q", resp.Status, resp.Header, body)
				}
			})
		}
	}
}

// Guards against ORDER: the same within an event of a stream.
func TestStreamThatAnAnswerWithoutAStatusCompletesIsNotPassedOn(t *testing.T) {
	spoiled := make(map[string]func(s *receivedRequest))
	for _, status := range []string{"000", "099", "600"} {
		next := "HTTP/1.1 " + status + " X\r\nT-Id: %ID\r\nT-Signed: yes\r\nContent-Length: 0\r\n\r\n"
		for _, before := range []string{"", "id: 6\n", "id: 6\ndata: ev", "id: 6\ndata: event 6\n", ": pi"} {
			spoiled[fmt.Sprintf("%s%q", status, before)] = func(s *receivedRequest) {
				s.write(unframedStreamHead + soundEvents(1, 5) + before + next)
			}
		}
	}
	testSpoiled(t, spoiled)
}
